package io.nutmegseam.node.control;

import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.platform.TableService;
import io.nutmegseam.node.settings.NodeSettings;
import java.time.Clock;

/**
 * What every part of the control state works with.
 *
 * @param settings the node's settings
 * @param incarnation incarnation of this process
 * @param thread the control thread
 * @param table the platform's table service
 * @param health whether the table service answers
 * @param monotonic monotonic clock
 * @param wall wall clock
 * @param events event log
 */
public record NodeContext(
    NodeSettings settings,
    String incarnation,
    ControlThread thread,
    TableService table,
    PlatformHealth health,
    Clock monotonic,
    Clock wall,
    EventSink events) {
  /** Returns the name of the node. */
  public String node() {
    return settings.node();
  }

  /** Returns the node's data centre. */
  public String dataCentre() {
    return settings.dataCentre();
  }

  /** Returns the monotonic time, in milliseconds. */
  public long nowMillis() {
    return monotonic.millis();
  }
}
