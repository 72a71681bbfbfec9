package io.nutmegseam.node.gateway;

import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.json.ValidationError;
import java.io.IOException;
import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Checks changed settings while a node runs. The node keeps those that it has read at its start;
 * valid ones take effect at its next start.
 */
public final class SettingsReload {
  private final GatewaySettings active;
  private final EventSink events;

  /**
   * Creates a component for a running node.
   *
   * @param active the settings of the node
   * @param events the log
   */
  SettingsReload(GatewaySettings active, EventSink events) {
    this.active = active;
    this.events = events;
  }

  /** Reads the text of the settings file. */
  @FunctionalInterface
  public interface Source {
    /** Returns the present text. */
    String read() throws IOException;
  }

  /** Checks the settings and logs in one line what is wrong with them or has changed. */
  void check(Source source) {
    List<ValidationError> errors = new ArrayList<>();
    try {
      Optional<GatewaySettings> next = GatewaySettings.parse(source.read(), errors);
      next.ifPresentOrElse(this::logChanges, () -> logRefusal(errors.toString()));
    } catch (IOException e) {
      logRefusal("unreadable: " + e);
    }
  }

  private void logChanges(GatewaySettings next) {
    List<String> changed =
        Arrays.stream(GatewaySettings.class.getRecordComponents())
            .filter(component -> !Objects.equals(value(component, active), value(component, next)))
            .map(RecordComponent::getName)
            .toList();
    events.record(
        EventKind.SETTINGS_RELOADED,
        active.node(),
        changed.isEmpty() ? "unchanged" : "changed, effective from the next start: " + changed);
  }

  private void logRefusal(String reason) {
    events.record(
        EventKind.SETTINGS_REFUSED, active.node(), "the settings are kept as they are: " + reason);
  }

  private static Object value(RecordComponent component, GatewaySettings settings) {
    try {
      return component.getAccessor().invoke(settings);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("settings without " + component.getName(), e);
    }
  }
}
