package io.nutmegseam.node.body;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Shares the memory for request bodies among all connections. A body is received only when there is
 * memory for all of it, so that bodies that have begun can end. Large bodies can't take all of the
 * memory and wait for each other; small ones do not wait behind them. Confined to the traffic
 * thread, except for the counts.
 */
public final class BodyMemory {
  /** Largest size of a small body. */
  static final int SMALL_BODY_BYTES = 256 << 10;

  private static final int HEAP_PER_CAPACITY = 3;

  private final long capacityBytes;
  private final long largeCapacityBytes;
  private final Deque<Reservation> waitingSmall = new ArrayDeque<>();
  private final Deque<Reservation> waitingLarge = new ArrayDeque<>();
  private final AtomicLong reservedBytes = new AtomicLong();
  private final AtomicInteger waitingCount = new AtomicInteger();
  private long reservedLargeBytes;

  /** The memory of one body. */
  public final class Reservation {
    private final Runnable onGranted;

    /** The memory that it has, in bytes. */
    private long bytes;

    /** The memory that it waits for, that which it has included, in bytes. */
    private long wantedBytes;

    private boolean waiting;

    private Reservation(Runnable onGranted) {
      this.onGranted = onGranted;
    }

    /** Returns whether it waits for memory. */
    public boolean isWaiting() {
      return waiting;
    }

    /** Returns the memory that it has, in bytes. */
    long bytes() {
      return bytes;
    }

    /** Asks for more memory; keeps what it has meanwhile. */
    void growTo(long grownBytes) {
      ask(grownBytes);
    }

    /** Sets its memory to the size of a body that has been received. */
    void settle(long bodyBytes) {
      stopWaiting();
      setBytes(bodyBytes);
      grantWaiting();
    }

    /** Gives its memory back. */
    public void release() {
      settle(0);
    }

    private void ask(long askedBytes) {
      wantedBytes = askedBytes;
      Deque<Reservation> queue = isLarge(askedBytes) ? waitingLarge : waitingSmall;
      if (queue.isEmpty() && fits(this)) {
        setBytes(wantedBytes);
      } else {
        waiting = true;
        waitingCount.incrementAndGet();
        queue.addLast(this);
      }
    }

    private void stopWaiting() {
      if (waiting) {
        waiting = false;
        waitingCount.decrementAndGet();
        waitingSmall.remove(this);
        waitingLarge.remove(this);
      }
    }

    private void setBytes(long newBytes) {
      reservedBytes.addAndGet(newBytes - bytes);
      reservedLargeBytes += largePart(newBytes) - largePart(bytes);
      bytes = newBytes;
    }
  }

  /**
   * Creates the memory.
   *
   * @param capacityBytes its size in bytes; one body that is larger is received alone
   */
  public BodyMemory(long capacityBytes) {
    this.capacityBytes = capacityBytes;
    this.largeCapacityBytes = capacityBytes - capacityBytes / 4;
  }

  /**
   * Returns the part of a heap that request bodies may use.
   *
   * @param heapBytes maximum size of the heap, in bytes
   */
  public static BodyMemory ofHeap(long heapBytes) {
    return new BodyMemory(heapBytes / HEAP_PER_CAPACITY);
  }

  /**
   * Reserves memory for a body.
   *
   * @param bytes size of the body, in bytes
   * @param onGranted called when memory that was waited for is there; not if it is there at once
   */
  Reservation reserve(long bytes, Runnable onGranted) {
    Reservation reservation = new Reservation(onGranted);
    if (bytes > 0) {
      reservation.ask(bytes);
    }
    return reservation;
  }

  /** Returns the bytes of all bodies that are being received or kept. Thread-safe. */
  public long reservedBytes() {
    return reservedBytes.get();
  }

  /** Returns how many bodies wait for memory. Thread-safe. */
  public int waitingCount() {
    return waitingCount.get();
  }

  private static boolean isLarge(long bytes) {
    return bytes > SMALL_BODY_BYTES;
  }

  private static long largePart(long bytes) {
    return isLarge(bytes) ? bytes : 0;
  }

  private boolean fits(Reservation reservation) {
    // One body may exceed the memory of large ones; small ones have theirs all the same.
    long countedLargeBytes = Math.min(reservedLargeBytes, largeCapacityBytes);
    long usedBytes = reservedBytes.get() - reservedLargeBytes + countedLargeBytes;
    boolean enough = usedBytes + reservation.wantedBytes - reservation.bytes <= capacityBytes;
    if (!isLarge(reservation.wantedBytes)) {
      return enough;
    }
    // Without this, bodies that turn out to be large could wait for each other's memory.
    boolean onlyLarge = reservedLargeBytes == 0;
    return onlyLarge
        || (enough && reservedLargeBytes + reservation.wantedBytes <= largeCapacityBytes);
  }

  private void grantWaiting() {
    grantWaiting(waitingSmall);
    grantWaiting(waitingLarge);
  }

  private void grantWaiting(Deque<Reservation> queue) {
    while (!queue.isEmpty() && fits(queue.peekFirst())) {
      Reservation reservation = queue.peekFirst();
      reservation.stopWaiting();
      reservation.setBytes(reservation.wantedBytes);
      reservation.onGranted.run();
    }
  }
}
