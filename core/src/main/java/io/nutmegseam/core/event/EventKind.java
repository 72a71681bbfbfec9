package io.nutmegseam.core.event;

/** Every event that a process logs, with its fixed number. Numbers are never reused. */
public enum EventKind {
  /** The node has read its settings and is starting. */
  NODE_STARTING(100),
  /** The node has started and listens for requests of callers. */
  NODE_READY(101),
  /** The node is shutting down; requests in flight are completed. */
  NODE_STOPPING(102),
  /** The node has stopped. */
  NODE_STOPPED(103),
  /** A reload of the settings was requested; a running node keeps its settings. */
  SETTINGS_RELOADED(104),
  /** Changed settings are unreadable or invalid; the running node keeps its settings. */
  SETTINGS_REFUSED(105),
  /** The node acquired its lease; in a gateway, the lease for load and unload orders. */
  LEASE_ACQUIRED(110),
  /** The node lost its lease and must not act as lease holder. */
  LEASE_LOST(111),
  /** A connection to a peer is established. */
  PEER_CONNECTED(120),
  /** The connection to a peer is closed. */
  PEER_DISCONNECTED(121),
  /** A peer sent a frame that is unreadable or not allowed. */
  PEER_REJECTED(122),
  /** The row of a node is unreadable; the node is ignored. */
  NODE_UNREADABLE(123),
  /** A configuration revision became active on this node. */
  CONFIG_IN_FORCE(200),
  /** A change of operator records was committed. */
  CONFIG_CHANGED(201),
  /** A stored record or configuration is unreadable; the active one is kept. */
  CONFIG_UNREADABLE(202),
  /** The node became the owner of a backend server. */
  SERVER_OWNED(300),
  /** The node is no longer the owner of a backend server. */
  SERVER_RELEASED(301),
  /** The node starts to take over a backend server from its previous owner. */
  SERVER_TAKEOVER(302),
  /** A backend server is leaving or was removed and gets no new work, or it ceased to leave. */
  SERVER_LEAVING(303),
  /** A backend server does not respond. */
  SERVER_UNREACHABLE(304),
  /** A backend server is temporarily excluded from routing because its calls failed. */
  SERVER_EJECTED(305),
  /** A backend server appeared in the server table, or its process was restarted. */
  SERVER_SEEN(306),
  /** The entry or the load report of a backend server is unreadable and is ignored. */
  SERVER_UNREADABLE(307),
  /** A backend server crashed while it ran requests. */
  SERVER_CRASHED(308),
  /** The limits that a backend server names in its responses have changed. */
  SERVER_LIMIT_NAMED(309),
  /** A replica slot was assigned to a backend server. */
  PLACEMENT_DECIDED(310),
  /** A replica slot is drained: its backend server must unload the replica. */
  PLACEMENT_DRAINING(311),
  /** A replica slot is free: no backend server may load the replica. */
  PLACEMENT_FREED(312),
  /** This node became the placement planner. */
  PLANNER_ELECTED(313),
  /** A backend server has asked this node for no requests for a time. */
  SERVER_PAUSED(314),
  /** The node ordered a backend server to load a model or adapter. */
  LOAD_ORDERED(320),
  /** The inventory of a backend server confirms a load. */
  LOAD_DONE(321),
  /** A backend server rejected an order, or its inventory does not show an ordered load. */
  LOAD_FAILED(322),
  /** The outcome of a load or unload order is unknown; its memory stays reserved. */
  ORDER_AMBIGUOUS(323),
  /** The node ordered a backend server to unload a model or adapter. */
  UNLOAD_ORDERED(324),
  /** The inventory of a backend server confirms an unload. */
  UNLOAD_DONE(325),
  /** A server left the fleet, or the tenure of this node ended, before a load was confirmed. */
  LOAD_LOST(326),
  /** The node began to request a load of a model or adapter for waiting requests. */
  DEMAND_RAISED(330),
  /** No server is reserved for a requested model that no server serves. */
  LOAD_DEFERRED(331),
  /** The number of store loads, or the estimate of how many run at full speed, has changed. */
  STORE_LOADS_COUNTED(332),
  /** A caller's request is valid and proceeds to admission control. */
  REQUEST_ACCEPTED(400),
  /** A request was sent to a backend server or a node; tells its earlier runs and their limit. */
  REQUEST_DISPATCHED(401),
  /** The complete response was sent to the caller. */
  REQUEST_ANSWERED(402),
  /** A request was refused, or it failed before its response was complete. */
  REQUEST_REFUSED(403),
  /** A request is retried after a failed attempt. */
  REQUEST_RETRIED(404),
  /** The caller disconnected; the work at the backend server is cancelled. */
  REQUEST_CANCELLED(405),
  /** A response that belongs to another attempt was discarded. */
  ANSWER_CROSSED(406),
  /** A backend server crashed while it ran the request; the request receives a strike. */
  CRASH_STRIKE(407),
  /** A request resumes a stream that an earlier request of the caller began. */
  REQUEST_RESUMES(408),
  /** Requests with a fingerprint are refused, or no longer refused, for the crashes of servers. */
  CRASH_VERDICT(409),
  /** The claim of a call that must run at most once is confirmed. */
  CLAIM_CONFIRMED(410),
  /** The claim of a call that must run at most once was abandoned; the call did not run. */
  CLAIM_ABANDONED(411),
  /** The outcome of a call that must run at most once was recorded. */
  CLAIM_DONE(412),
  /** The outcome of a call that must run at most once could not be recorded. */
  CLAIM_UNRECORDED(413),
  /** The node can no longer prove the age of its configuration and refuses requests by key. */
  CONFIG_PROOF_LOST(420),
  /** The node can prove the age of its configuration and admits requests by key. */
  CONFIG_PROOF_GAINED(421),
  /** The time of day was set back, so that the age of the configuration must be proven again. */
  CLOCK_SET_BACK(422),
  /** Waiting requests were put into dispatch order; at most once a second. */
  WAITING_ORDERED(430),
  /** A request waits until a server that refused it may have capacity; at most once a second. */
  CAPACITY_AWAITED(431),
  /** A tenant has used up what this node may use of its allotment; logged once in 10 s. */
  ALLOTMENT_EXHAUSTED(425),
  /** The node that grants this node the use of allotments has changed. */
  GRANTING_NODE_CHANGED(426),
  /** A long prompt is sent to a server; at most one line a second. */
  LONG_PROMPT_SENT(435),
  /** Bytes sent to other data centres so far, by kind; at most one line in 10 s. */
  REMOTE_BYTES(436),
  /** The platform's table service does not respond. */
  PLATFORM_OUT(500),
  /** The platform's table service responds again. */
  PLATFORM_BACK(501),
  /** A row is written through another node because this node's calls to the store fail. */
  WRITE_RELAYED(502),
  /** The platform's store has returned from an older copy; what was written since is lost. */
  STORE_RESTORED(503),
  /** The store did not answer this node, but others; entries that are missing are gone. */
  STORE_NOT_AWAY(504),
  /** The node reaches none, or less than half, of a sample of backend servers. */
  SERVERS_OUT(510),
  /** The node reaches most backend servers again. */
  SERVERS_BACK(511),
  /** Log lines were dropped because the log output was too slow. */
  LOG_DROPPED(901),
  /** An internal error of the node. */
  INTERNAL_FAULT(900);

  private final int number;

  EventKind(int number) {
    this.number = number;
  }

  /** Returns the fixed number of the event. */
  public int number() {
    return number;
  }
}
