package io.nutmegseam.node.control;

import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.platform.TableService;
import io.nutmegseam.node.settings.NodeSettings;
import java.time.Clock;

/**
 * Settings, clocks and services that the control components of a node share.
 *
 * @param settings settings of the node
 * @param incarnation ID of this process run; changes with every start
 * @param thread the control thread
 * @param table the platform's table service
 * @param health tracks whether the table service is available
 * @param monotonic monotonic clock
 * @param wall wall clock
 * @param events receives events for the log and the timeline
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
  /** Returns the name of this node. */
  public String node() {
    return settings.node();
  }

  /** Returns the name of this node's data centre. */
  public String dataCentre() {
    return settings.dataCentre();
  }

  /** Returns the monotonic time, in milliseconds. */
  public long nowMillis() {
    return monotonic.millis();
  }
}
