package io.nutmegseam.node.crash;

import io.nutmegseam.core.crash.CrashReport;
import io.nutmegseam.core.crash.CrashVerdict;
import io.nutmegseam.core.crash.Fingerprint;
import io.nutmegseam.node.peer.generated.CrashSuspect;
import io.nutmegseam.node.peer.generated.ProcessCrash;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Converts crashes and verdicts to messages between nodes, and back. */
public final class CrashCodec {
  private CrashCodec() {}

  /** Encodes a crash of a given age. */
  public static ProcessCrash encode(CrashReport report, long ageMillis) {
    ProcessCrash.Builder message =
        ProcessCrash.newBuilder()
            .setProcess(report.process())
            .setSoftware(report.software())
            .setAgeMillis(ageMillis);
    report
        .suspects()
        .forEach(
            (suspect, specificity) ->
                message.addSuspects(
                    CrashSuspect.newBuilder()
                        .setFingerprint(suspect.bits())
                        .setSpecificity(specificity)));
    return message.build();
  }

  /** Decodes a crash. */
  public static CrashReport decode(ProcessCrash message) {
    Map<Fingerprint, Integer> suspects = new HashMap<>();
    for (CrashSuspect suspect : message.getSuspectsList()) {
      suspects.merge(
          new Fingerprint(suspect.getFingerprint()), suspect.getSpecificity(), Math::max);
    }
    return new CrashReport(message.getProcess(), message.getSoftware(), suspects);
  }

  static io.nutmegseam.node.peer.generated.CrashVerdict encode(CrashVerdict verdict) {
    return io.nutmegseam.node.peer.generated.CrashVerdict.newBuilder()
        .setFingerprint(verdict.fingerprint().bits())
        .setGeneration(verdict.generation())
        .setCondemned(verdict.condemned())
        .addAllCrashedSoftware(verdict.crashedSoftware())
        .addAllTriedSoftware(verdict.triedSoftware())
        .addAllSoundSoftware(verdict.soundSoftware())
        .setValidUntilMillis(verdict.validUntilMillis())
        .build();
  }

  static CrashVerdict decode(io.nutmegseam.node.peer.generated.CrashVerdict message) {
    return new CrashVerdict(
        new Fingerprint(message.getFingerprint()),
        message.getGeneration(),
        message.getCondemned(),
        Set.copyOf(message.getCrashedSoftwareList()),
        Set.copyOf(message.getTriedSoftwareList()),
        Set.copyOf(message.getSoundSoftwareList()),
        message.getValidUntilMillis());
  }

  /** Returns the bits of some fingerprints. */
  public static List<Long> bits(Collection<Fingerprint> fingerprints) {
    return fingerprints.stream().map(Fingerprint::bits).toList();
  }

  /** Returns the fingerprints with some bits. */
  public static Set<Fingerprint> fingerprints(Collection<Long> bits) {
    return bits.stream().map(Fingerprint::new).collect(Collectors.toSet());
  }
}
