package io.nutmegseam.core.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * The crashes of servers, what ran on them, and the verdicts that follow. Immutable.
 *
 * <p>A fingerprint is condemned if it ran at {@link #CRASHES_FOR_VERDICT} crashes that no condemned
 * fingerprint explains and has never run to its end on the software that crashed. Whatever only ran
 * beside the cause of a crash is acquitted by its next successful run, or has the crash explained
 * by the verdict on the cause. The content of one request may be condemned for a part of its prompt
 * that other requests have as well: what is less specific is condemned for the same crashes as soon
 * as it explains {@link #FURTHER_CRASHES} more.
 */
public final class CrashLedger {
  /** Number of unexplained crashes that condemn a fingerprint. */
  public static final int CRASHES_FOR_VERDICT = 3;

  /**
   * Number of crashes without any explanation that condemn a fingerprint if others of its crashes
   * are explained by a more specific one only.
   */
  private static final int FURTHER_CRASHES = 2;

  /** Time for other nodes to report successful runs of the suspects of a crash. */
  private static final long SETTLE_MILLIS = 250;

  private static final long CRASH_RETENTION_MILLIS = 600_000;

  /** A verdict ends when no request with its fingerprint has come for this time. */
  static final long VERDICT_MILLIS = 600_000;

  private static final int MAX_CRASHES = 128;
  private static final int MAX_SUSPECTS = 256;
  private static final int MAX_VERDICTS = 128;

  private static final CrashLedger EMPTY = new CrashLedger(Map.of(), Set.of(), Map.of());

  private final Map<String, Crash> crashByProcess;
  private final Set<Run> successfulRuns;
  private final Map<Fingerprint, CrashVerdict> verdicts;

  /** A crash; {@code updatedMillis} is the time at which the last suspect was added. */
  private record Crash(CrashReport report, long sinceMillis, long updatedMillis) {}

  private record Run(Fingerprint fingerprint, String software) {}

  private CrashLedger(
      Map<String, Crash> crashByProcess,
      Set<Run> successfulRuns,
      Map<Fingerprint, CrashVerdict> verdicts) {
    this.crashByProcess = crashByProcess;
    this.successfulRuns = successfulRuns;
    this.verdicts = verdicts;
  }

  /** Returns a ledger without crashes. */
  public static CrashLedger empty() {
    return EMPTY;
  }

  /** Returns the crashes in the order in which they became known. */
  public Collection<CrashReport> crashes() {
    return crashByProcess.values().stream().map(Crash::report).toList();
  }

  /** Returns the suspects of crashes that ran to their end, by the software on which they did. */
  public Map<String, Set<Fingerprint>> acquittedBySoftware() {
    Map<String, Set<Fingerprint>> acquitted = new HashMap<>();
    for (Run run : successfulRuns) {
      acquitted.computeIfAbsent(run.software(), s -> new HashSet<>()).add(run.fingerprint());
    }
    return acquitted;
  }

  /** Returns the verdicts, those that were lifted included. */
  public Set<CrashVerdict> verdicts() {
    return Set.copyOf(verdicts.values());
  }

  /** Returns the verdict on a fingerprint, which may have been lifted. */
  public Optional<CrashVerdict> verdict(Fingerprint fingerprint) {
    return Optional.ofNullable(verdicts.get(fingerprint));
  }

  /** Returns whether a crash is recorded; a request that is sent after that did not cause it. */
  public boolean isCrashRecorded(String process) {
    return crashByProcess.containsKey(process);
  }

  /** Returns the age of a recorded crash, in milliseconds. */
  public long crashAgeMillis(String process, long nowMillis) {
    return nowMillis - crashByProcess.get(process).sinceMillis();
  }

  /**
   * Returns the ledger with a crash, or with further suspects of a recorded one. If it has too many
   * crashes, the oldest one is forgotten.
   *
   * @param report the crash
   * @param sinceMillis monotonic time at which the crash became known
   * @param nowMillis monotonic time
   */
  public CrashLedger withCrash(CrashReport report, long sinceMillis, long nowMillis) {
    Crash before = crashByProcess.get(report.process());
    Map<Fingerprint, Integer> suspects = new HashMap<>();
    if (before != null) {
      suspects.putAll(before.report().suspects());
    }
    report
        .suspects()
        .forEach(
            (suspect, specificity) -> {
              if (suspects.size() < MAX_SUSPECTS || suspects.containsKey(suspect)) {
                suspects.merge(suspect, specificity, Math::max);
              }
            });
    if (before != null && before.report().suspects().equals(suspects)) {
      return this;
    }
    Map<String, Crash> next = new LinkedHashMap<>(crashByProcess);
    next.put(
        report.process(),
        new Crash(
            new CrashReport(report.process(), report.software(), suspects),
            before == null ? sinceMillis : before.sinceMillis(),
            nowMillis));
    if (next.size() > MAX_CRASHES) {
      next.remove(next.keySet().iterator().next());
    }
    return new CrashLedger(next, successfulRuns, verdicts);
  }

  /**
   * Returns the ledger without a crash, since the process still runs. Verdicts that rested on it
   * are lifted.
   */
  public CrashLedger withoutCrash(String process, long utcMillis) {
    Crash removed = crashByProcess.get(process);
    if (removed == null) {
      return this;
    }
    Map<String, Crash> next = new LinkedHashMap<>(crashByProcess);
    next.remove(process);
    Map<Fingerprint, CrashVerdict> nextVerdicts = new HashMap<>(verdicts);
    for (Fingerprint suspect : removed.report().suspects().keySet()) {
      long support =
          next.values().stream().filter(c -> c.report().suspects().containsKey(suspect)).count();
      if (isCondemned(suspect) && support < CRASHES_FOR_VERDICT) {
        nextVerdicts.computeIfPresent(suspect, (f, verdict) -> lifted(verdict, utcMillis));
      }
    }
    return new CrashLedger(next, successfulRuns, nextVerdicts);
  }

  /**
   * Returns the ledger with a run that succeeded. It acquits a suspect of the crashes of the same
   * software, and lifts a verdict that rests on these; requests that are condemned for crashes of
   * other software are sound on this one.
   */
  public CrashLedger withSuccess(Fingerprint fingerprint, String software, long utcMillis) {
    Run run = new Run(fingerprint, software);
    CrashVerdict verdict = verdicts.get(fingerprint);
    CrashLedger next = this;
    if (isSuspected(run) && !successfulRuns.contains(run)) {
      Set<Run> runs = new HashSet<>(successfulRuns);
      runs.add(run);
      next = new CrashLedger(crashByProcess, runs, verdicts);
    }
    if (verdict == null || !verdict.condemned() || verdict.soundSoftware().contains(software)) {
      return next;
    }
    return next.withMergedVerdict(
        verdict.crashedSoftware().contains(software)
            ? lifted(verdict, utcMillis)
            : verdict.withSound(software));
  }

  private static CrashVerdict lifted(CrashVerdict verdict, long utcMillis) {
    return verdict.lifted(utcMillis + VERDICT_MILLIS);
  }

  private boolean isSuspected(Run run) {
    return crashByProcess.values().stream()
        .anyMatch(
            crash ->
                crash.report().software().equals(run.software())
                    && crash.report().suspects().containsKey(run.fingerprint()));
  }

  /**
   * Returns the ledger with a verdict of another node, unless it has ended. A verdict of a node
   * that does not know of a successful run is lifted.
   */
  public CrashLedger withVerdict(CrashVerdict verdict, long utcMillis) {
    CrashVerdict before = verdicts.get(verdict.fingerprint());
    boolean ended = verdict.validUntilMillis() <= utcMillis;
    if (ended || (before != null && verdict.isCoveredBy(before))) {
      return this;
    }
    CrashVerdict merged = before == null ? verdict : before.merge(verdict);
    boolean refuted =
        merged.condemned()
            && merged.crashedSoftware().stream()
                .anyMatch(s -> successfulRuns.contains(new Run(merged.fingerprint(), s)));
    return withMergedVerdict(refuted ? lifted(merged, utcMillis) : merged);
  }

  /** Returns the ledger after a request with a condemned fingerprint has come. */
  public CrashLedger withRefusal(Fingerprint fingerprint, long utcMillis) {
    CrashVerdict verdict = verdicts.get(fingerprint);
    boolean due =
        verdict != null
            && verdict.condemned()
            && verdict.validUntilMillis() - utcMillis < VERDICT_MILLIS / 2;
    return due ? withMergedVerdict(verdict.extended(utcMillis + VERDICT_MILLIS)) : this;
  }

  /** Adds a verdict; if there are too many, the one that ends first is forgotten. */
  private CrashLedger withMergedVerdict(CrashVerdict verdict) {
    Map<Fingerprint, CrashVerdict> next = new HashMap<>(verdicts);
    next.put(verdict.fingerprint(), verdict);
    if (next.size() > MAX_VERDICTS) {
      next.values().stream()
          .min(Comparator.comparingLong(CrashVerdict::validUntilMillis))
          .ifPresent(first -> next.remove(first.fingerprint()));
    }
    return new CrashLedger(crashByProcess, successfulRuns, next);
  }

  /**
   * Returns the ledger without what has expired and with the verdicts that follow from the crashes
   * that were reported some time ago.
   *
   * @param nowMillis monotonic time
   * @param utcMillis milliseconds since the epoch
   */
  public CrashLedger settle(long nowMillis, long utcMillis) {
    CrashLedger next = withoutExpired(nowMillis, utcMillis);
    for (int i = 0; i < MAX_CRASHES / CRASHES_FOR_VERDICT; i++) {
      Optional<Fingerprint> cause = next.findCause(nowMillis);
      if (cause.isEmpty()) {
        break;
      }
      next = next.withCondemned(cause.get(), utcMillis);
    }
    return next;
  }

  /**
   * Returns the ledger without crashes and verdicts that have expired.
   *
   * @param nowMillis monotonic time
   * @param utcMillis milliseconds since the epoch
   */
  public CrashLedger withoutExpired(long nowMillis, long utcMillis) {
    Map<String, Crash> crashes = new LinkedHashMap<>(crashByProcess);
    crashes.values().removeIf(c -> nowMillis - c.sinceMillis() >= CRASH_RETENTION_MILLIS);
    Map<Fingerprint, CrashVerdict> unexpired = new HashMap<>(verdicts);
    unexpired.values().removeIf(verdict -> verdict.validUntilMillis() <= utcMillis);
    if (crashes.size() == crashByProcess.size() && unexpired.size() == verdicts.size()) {
      return this;
    }
    CrashLedger next = new CrashLedger(crashes, successfulRuns, unexpired);
    Set<Run> runs = new HashSet<>(successfulRuns);
    runs.removeIf(run -> !next.isSuspected(run));
    return new CrashLedger(crashes, runs, unexpired);
  }

  private CrashLedger withCondemned(Fingerprint fingerprint, long utcMillis) {
    Set<String> software = new HashSet<>();
    for (Crash crash : crashByProcess.values()) {
      if (crash.report().suspects().containsKey(fingerprint)) {
        software.add(crash.report().software());
      }
    }
    CrashVerdict before = verdicts.get(fingerprint);
    long generation = before == null ? 1 : before.generation() + 1;
    return withMergedVerdict(
        CrashVerdict.condemned(fingerprint, generation, software, utcMillis + VERDICT_MILLIS));
  }

  /** Returns the fingerprint that explains most crashes, if it is to be condemned. */
  private Optional<Fingerprint> findCause(long nowMillis) {
    List<Crash> settled = new ArrayList<>(crashByProcess.values());
    settled.removeIf(crash -> nowMillis - crash.updatedMillis() < SETTLE_MILLIS);
    return strikes(settled).entrySet().stream()
        .filter(entry -> entry.getValue().isCause())
        .max(Map.Entry.comparingByValue())
        .map(Map.Entry::getKey);
  }

  /** Returns the crashes that speak against each suspect, unless it is acquitted. */
  private Map<Fingerprint, Strikes> strikes(Collection<Crash> crashes) {
    Map<Fingerprint, Strikes> strikes = new HashMap<>();
    for (Crash crash : crashes) {
      CrashReport report = crash.report();
      OptionalInt explanation =
          report.suspects().entrySet().stream()
              .filter(suspect -> isCondemned(suspect.getKey()))
              .mapToInt(Map.Entry::getValue)
              .min();
      report
          .suspects()
          .forEach(
              (suspect, specificity) -> {
                boolean explained =
                    explanation.isPresent() && explanation.getAsInt() <= specificity;
                if (!explained && !successfulRuns.contains(new Run(suspect, report.software()))) {
                  strikes.merge(
                      suspect,
                      new Strikes(explanation.isEmpty() ? 1 : 0, 1, specificity),
                      Strikes::plus);
                }
              });
    }
    return strikes;
  }

  /**
   * The crashes that speak against a fingerprint.
   *
   * @param unexplained number of crashes that no condemned fingerprint explains
   * @param total number of crashes that no condemned fingerprint explains which is at most as
   *     specific
   * @param specificity specificity of the fingerprint
   */
  private record Strikes(int unexplained, int total, int specificity)
      implements Comparable<Strikes> {
    private Strikes plus(Strikes other) {
      return new Strikes(
          unexplained + other.unexplained,
          total + other.total,
          Math.max(specificity, other.specificity));
    }

    private boolean isCause() {
      return total >= CRASHES_FOR_VERDICT && unexplained >= FURTHER_CRASHES;
    }

    @Override
    public int compareTo(Strikes other) {
      return Comparator.comparingInt(Strikes::unexplained)
          .thenComparingInt(Strikes::specificity)
          .compare(this, other);
    }
  }

  private boolean isCondemned(Fingerprint fingerprint) {
    CrashVerdict verdict = verdicts.get(fingerprint);
    return verdict != null && verdict.condemned();
  }

  /** Returns the number of recorded crashes at which a fingerprint ran. */
  public int crashCount(Fingerprint fingerprint) {
    return (int)
        crashByProcess.values().stream()
            .filter(crash -> crash.report().suspects().containsKey(fingerprint))
            .count();
  }

  /** Returns what is needed to handle requests. */
  public CrashView view() {
    Map<Fingerprint, CrashVerdict> condemned = new HashMap<>(verdicts);
    condemned.values().removeIf(verdict -> !verdict.condemned());
    Map<Fingerprint, Integer> unexplained = new HashMap<>();
    strikes(crashByProcess.values()).forEach((f, s) -> unexplained.put(f, s.unexplained()));
    return new CrashView(condemned, unexplained);
  }
}
