package io.nutmegseam.node.allotment;

import io.nutmegseam.core.allotment.GrantDecision;
import io.nutmegseam.core.allotment.GrantRequest;
import io.nutmegseam.core.tenant.Allotment;
import io.nutmegseam.core.tenant.AllotmentUnit;
import io.nutmegseam.node.peer.generated.GrantAnswer;
import io.nutmegseam.node.peer.generated.GrantAsk;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Messages about grants. */
final class GrantCodec {
  private GrantCodec() {}

  static GrantAsk.Builder encode(GrantRequest request) {
    GrantAsk.Builder message =
        GrantAsk.newBuilder()
            .setProcess(request.process())
            .setSequence(request.sequence())
            .setUnanswered(request.sequence() - request.answered())
            .setEcho(request.echo())
            .setGroup(request.group())
            .setGroups(request.groups())
            .setConfigVersion(request.configVersion());
    for (GrantRequest.Entry entry : request.entries()) {
      message.addTenants(entry.tenant()).addBalances(entry.balance()).addWanted(entry.wanted());
      entry
          .newer()
          .ifPresent(newer -> message.addRates(newer.ratePerSecond()).addBursts(newer.burst()));
    }
    if (request.entries().stream().anyMatch(entry -> entry.urgent() > 0)) {
      request.entries().forEach(entry -> message.addUrgent(entry.urgent()));
    }
    if (request.entries().stream().anyMatch(entry -> entry.returned() > 0)) {
      request.entries().forEach(entry -> message.addReturned(entry.returned()));
    }
    return message;
  }

  /** Returns the request of a message; empty if its lists differ in length. */
  static Optional<GrantRequest> decode(GrantAsk message) {
    int count = message.getTenantsCount();
    boolean valid =
        message.getBalancesCount() == count
            && message.getWantedCount() == count
            && (message.getUrgentCount() == 0 || message.getUrgentCount() == count)
            && (message.getReturnedCount() == 0 || message.getReturnedCount() == count)
            && (message.getRatesCount() == 0 || message.getRatesCount() == count)
            && message.getBurstsCount() == message.getRatesCount()
            && message.getGroups() > 0;
    if (!valid) {
      return Optional.empty();
    }
    List<GrantRequest.Entry> entries = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      entries.add(
          new GrantRequest.Entry(
              message.getTenants(i),
              Math.max(0, message.getBalances(i)),
              Math.max(0, message.getWanted(i)),
              message.getUrgentCount() == 0 ? 0 : Math.max(0, message.getUrgent(i)),
              message.getReturnedCount() == 0 ? 0 : Math.max(0, message.getReturned(i)),
              message.getRatesCount() == 0 ? Optional.empty() : Optional.of(newer(message, i))));
    }
    return Optional.of(
        new GrantRequest(
            message.getProcess(),
            message.getSequence(),
            message.getSequence() - message.getUnanswered(),
            message.getEcho(),
            message.getGroup(),
            message.getGroups(),
            message.getConfigVersion(),
            entries));
  }

  private static Allotment newer(GrantAsk message, int index) {
    return new Allotment(
        AllotmentUnit.TOKENS, 0, message.getRates(index), message.getBursts(index));
  }

  static GrantAnswer.Builder encode(GrantDecision decision) {
    GrantAnswer.Builder message =
        GrantAnswer.newBuilder()
            .setSequence(decision.sequence())
            .setStamp(decision.stamp())
            .setConfigVersion(decision.configVersion())
            .setMember(decision.member());
    boolean waits = decision.grants().stream().anyMatch(grant -> grant.waitMillis() > 0);
    for (GrantDecision.Grant grant : decision.grants()) {
      message.addGranted(grant.units());
      if (waits) {
        message.addWaitMillis((int) Math.min(Integer.MAX_VALUE, grant.waitMillis()));
      }
    }
    return message;
  }

  static GrantDecision decode(GrantAnswer message) {
    List<GrantDecision.Grant> grants = new ArrayList<>();
    for (int i = 0; i < message.getGrantedCount(); i++) {
      grants.add(
          new GrantDecision.Grant(
              Math.max(0, message.getGranted(i)),
              i < message.getWaitMillisCount() ? message.getWaitMillis(i) : 0));
    }
    return new GrantDecision(
        message.getSequence(),
        message.getStamp(),
        message.getConfigVersion(),
        message.getMember(),
        grants);
  }
}
