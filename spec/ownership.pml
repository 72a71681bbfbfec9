/*
 * Ownership of one backend server by two nodes, and the memory of its engine.
 *
 * State names are those of io.nutmegseam.core.ownership.ServerOwnership. The server has memory for
 * one unit. A node is paused whenever the scheduler does not run it; a lease may lapse at any time
 * (`lapsed`), even while its holder is only paused. A row write may take effect while its response
 * is lost. An order may stay in flight for any length of time; SETTLED states that the orders of an
 * earlier owner have arrived or are lost, which the implementation assumes after the settle time.
 *
 * FENCING         1 if the engine refuses orders with an outdated fencing number, else 0
 * NO_EPOCH_CHECK  fault: the engine is declared to check fencing numbers, but does not
 * TAKE_ON_LAPSE   fault: a lapsed lease is sufficient to take over a server without fencing
 * NO_RESERVE      fault: memory is not reserved while the outcome of an order is unknown
 */
#ifndef FENCING
#define FENCING 1
#endif

mtype = { WATCHING, TAKING, CLAIMING, SETTLING, OWNED, RELEASING };

#define NODES 2
#define NO_OWNER 255
#define CAPACITY 1

byte rowOwner = NO_OWNER;
byte rowEpoch = 0;
byte rowVersion = 0;

bool lapsed[NODES];
bool restarted[NODES];

/* The engine: the number of units in memory and the highest fencing number received. */
byte loaded = 0;
byte fence = 0;

/* Orders in flight: at most one load and one unload per node. */
bool loadInFlight[NODES];
bool unloadInFlight[NODES];
byte orderEpoch[NODES];

byte steps = 0;
#define MAX_EPOCH 4

inline accepts(e, ok) {
#if FENCING && !defined(NO_EPOCH_CHECK)
  if
  :: e >= fence -> fence = e; ok = true
  :: else -> ok = false
  fi
#else
  ok = true
#endif
}

/* Delivers orders in flight, at any time and in any sequence. */
active proctype Network() {
  byte n;
  bool ok;
end:
  do
  :: atomic { loadInFlight[0] -> loadInFlight[0] = false; accepts(orderEpoch[0], ok);
       if :: ok -> loaded++; assert(loaded <= CAPACITY) :: else fi }
  :: atomic { loadInFlight[1] -> loadInFlight[1] = false; accepts(orderEpoch[1], ok);
       if :: ok -> loaded++; assert(loaded <= CAPACITY) :: else fi }
  :: atomic { unloadInFlight[0] -> unloadInFlight[0] = false; accepts(orderEpoch[0], ok);
       if :: ok && loaded > 0 -> loaded-- :: else fi }
  :: atomic { unloadInFlight[1] -> unloadInFlight[1] = false; accepts(orderEpoch[1], ok);
       if :: ok && loaded > 0 -> loaded-- :: else fi }
  od
}

/* Makes leases lapse and become valid again. */
active proctype Leases() {
end:
  do
  :: lapsed[0] = !lapsed[0]
  :: lapsed[1] = !lapsed[1]
  od
}

/* Takeover rule: whether this node may take over the server from the owner in the row. */
#if FENCING || defined(TAKE_ON_LAPSE)
#define MAY_TAKE_OVER(other) (rowOwner == NO_OWNER || restarted[other] || lapsed[other])
#else
#define MAY_TAKE_OVER(other) (rowOwner == NO_OWNER || restarted[other])
#endif

/* An earlier owner that has stopped sends no more orders; one that is only paused may do so. */
#ifdef TAKE_ON_LAPSE
#define SETTLED(other) true
#else
#define SETTLED(other) (!loadInFlight[other] && !unloadInFlight[other])
#endif

proctype Node(byte me) {
  mtype phase = WATCHING;
  byte other = 1 - me;
  byte epoch = 0;
  byte seenVersion = 0;
  byte ledger = 0;
  bool reserved = false;
  bool ok;
end:
  do
  /* Review while WATCHING: takes over the server with a compare-and-set. */
  :: atomic { phase == WATCHING && rowOwner != me && MAY_TAKE_OVER(other) && rowEpoch < MAX_EPOCH ->
       seenVersion = rowVersion; phase = TAKING }
  :: atomic { phase == TAKING ->
       if
       :: rowVersion == seenVersion ->
            rowOwner = me; rowEpoch++; rowVersion++; epoch = rowEpoch; restarted[me] = false;
            if
            :: phase = CLAIMING
            :: phase = WATCHING /* the response is lost */
            fi
       :: else -> phase = WATCHING
       fi }
  /* RowSeen: a row that names this node as owner is adopted while WATCHING. */
  :: atomic { phase == WATCHING && rowOwner == me && !restarted[me] ->
       epoch = rowEpoch; phase = CLAIMING }
  /* ClaimEngine. */
  :: atomic { phase == CLAIMING ->
#if FENCING
       accepts(epoch, ok);
       if
       :: ok -> phase = OWNED; ledger = loaded; reserved = false
       :: else -> phase = WATCHING
       fi
#else
       phase = SETTLING
#endif
     }
#if !FENCING
  /* The settle time has passed: orders of a stopped earlier owner have arrived or are lost. */
  :: atomic { phase == SETTLING && !loadInFlight[me] && !unloadInFlight[me] && SETTLED(other) ->
       phase = OWNED; ledger = loaded; reserved = false }
#endif
  /* OWNED: reserves memory, then orders a load. */
  :: atomic { phase == OWNED && ledger == 0 && !reserved && !loadInFlight[me] ->
       reserved = true; loadInFlight[me] = true; orderEpoch[me] = epoch }
  /* OWNED: orders an unload of a unit that the inventory listed. */
  :: atomic { phase == OWNED && ledger > 0 && !unloadInFlight[me] && !loadInFlight[me] ->
       unloadInFlight[me] = true; orderEpoch[me] = epoch }
  /* Inventory read: updates the ledger once no order of this node is in flight. */
#ifdef NO_RESERVE
  :: atomic { phase == OWNED -> ledger = loaded; reserved = false }
#else
  :: atomic { phase == OWNED && !loadInFlight[me] && !unloadInFlight[me] ->
       ledger = loaded; reserved = false }
#endif
  /* RowSeen with another owner, or the engine rejected this node's fencing number. */
  :: atomic { phase == OWNED && rowOwner != me -> phase = WATCHING }
  /* Releases the server while no order is in flight. */
  :: atomic { phase == OWNED && !loadInFlight[me] && !unloadInFlight[me] -> phase = RELEASING }
  :: atomic { phase == RELEASING ->
       if
       :: rowOwner == me && rowEpoch == epoch -> rowOwner = NO_OWNER; rowVersion++
       :: else
       fi;
       phase = WATCHING }
  /* The process exits and a new one starts at its address. Orders in flight stay in flight. */
  :: atomic { phase != WATCHING && rowOwner == me && !restarted[me] ->
       restarted[me] = true; phase = WATCHING; ledger = 0; reserved = false }
  od
}

init {
  atomic { run Node(0); run Node(1) }
}
