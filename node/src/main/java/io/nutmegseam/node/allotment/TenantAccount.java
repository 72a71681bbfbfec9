package io.nutmegseam.node.allotment;

import io.nutmegseam.core.allotment.TenantBalance;
import io.nutmegseam.core.allotment.TenantKeys;
import io.nutmegseam.core.tenant.Allotment;
import java.util.ArrayDeque;
import java.util.Deque;

/** A tenant's balance at this node, with the requests that wait for it. */
final class TenantAccount {
  private final String name;
  private final int key;
  private final TenantBalance balance = new TenantBalance();
  private final Deque<PendingCharge> waiting = new ArrayDeque<>();
  private Allotment allotment;

  TenantAccount(String name, Allotment allotment) {
    this.name = name;
    this.key = TenantKeys.key(name);
    this.allotment = allotment;
  }

  String name() {
    return name;
  }

  int key() {
    return key;
  }

  Allotment allotment() {
    return allotment;
  }

  void setAllotment(Allotment next) {
    allotment = next;
  }

  TenantBalance balance() {
    return balance;
  }

  Deque<PendingCharge> waiting() {
    return waiting;
  }

  /** Returns the units for which requests wait. */
  long urgent() {
    waiting.removeIf(charge -> !charge.isWaiting());
    return waiting.stream().mapToLong(PendingCharge::cost).sum();
  }

  /** Charges the requests that the balance covers, in the order of their arrival. */
  void chargeWaiting(long nowMillis) {
    waiting.removeIf(charge -> !charge.isWaiting());
    while (!waiting.isEmpty() && balance.charge(waiting.peek().cost(), nowMillis)) {
      waiting.poll().onCharged();
    }
  }
}
