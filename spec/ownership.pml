/*
 * Ownership of one backend server by two nodes, and the memory of its engine.
 *
 * State names are those of io.nutmegseam.core.ownership.ServerOwnership. The server has room for
 * one unit. A node is paused whenever the scheduler does not run it; a lease lapses at any time
 * (`lapsed`), also while its holder is only paused. A row write may take effect while its answer is
 * lost. An order stays in flight for any time; SETTLED says that an order of an earlier owner has
 * arrived or is lost, as the settle time does.
 *
 * FENCING      the engine refuses orders with an old fencing number
 * NO_EPOCH_CHECK  broken: the engine is said to check, but does not
 * TAKE_ON_LAPSE   broken: a lapsed lease is enough for a server without fencing
 * NO_RESERVE      broken: memory is not reserved while the outcome of an order is unknown
 */
#ifndef FENCING
#define FENCING 1
#endif

mtype = { WATCHING, TAKING, CLAIMING, SETTLING, OWNED, RELEASING };

#define NODES 2
#define NOBODY 255
#define CAPACITY 1

byte rowOwner = NOBODY;
byte rowEpoch = 0;
byte rowVersion = 0;

bool lapsed[NODES];
bool restarted[NODES];

/* The engine: units in memory and the highest fencing number seen. */
byte loaded = 0;
byte fence = 0;

/* Orders in flight: at most one load and one unload of each node. */
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

/* Delivers orders in flight, at any time and in any order. */
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

/* Lets leases lapse and come back. */
active proctype Leases() {
end:
  do
  :: lapsed[0] = !lapsed[0]
  :: lapsed[1] = !lapsed[1]
  od
}

/* Whether this node may take the row from its holder: the takeover rule. */
#if FENCING || defined(TAKE_ON_LAPSE)
#define MAY_TAKE(other) (rowOwner == NOBODY || restarted[other] || lapsed[other])
#else
#define MAY_TAKE(other) (rowOwner == NOBODY || restarted[other])
#endif

/* A holder that is gone sends nothing more; one that is only paused may still send. */
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
  /* Review while WATCHING: take the server by compare-and-set. */
  :: atomic { phase == WATCHING && rowOwner != me && MAY_TAKE(other) && rowEpoch < MAX_EPOCH ->
       seenVersion = rowVersion; phase = TAKING }
  :: atomic { phase == TAKING ->
       if
       :: rowVersion == seenVersion ->
            rowOwner = me; rowEpoch++; rowVersion++; epoch = rowEpoch; restarted[me] = false;
            if
            :: phase = CLAIMING
            :: phase = WATCHING /* the answer is lost */
            fi
       :: else -> phase = WATCHING
       fi }
  /* RowSeen: an own row found while WATCHING is adopted. */
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
  /* The settle time has passed: orders of an earlier owner that is gone have arrived or are lost. */
  :: atomic { phase == SETTLING && !loadInFlight[me] && !unloadInFlight[me] && SETTLED(other) ->
       phase = OWNED; ledger = loaded; reserved = false }
#endif
  /* OWNED: reserve, then order a load. */
  :: atomic { phase == OWNED && ledger == 0 && !reserved && !loadInFlight[me] ->
       reserved = true; loadInFlight[me] = true; orderEpoch[me] = epoch }
  /* OWNED: order an unload of what the inventory showed. */
  :: atomic { phase == OWNED && ledger > 0 && !unloadInFlight[me] && !loadInFlight[me] ->
       unloadInFlight[me] = true; orderEpoch[me] = epoch }
  /* Inventory read: settles the ledger once nothing of this node is in flight. */
#ifdef NO_RESERVE
  :: atomic { phase == OWNED -> ledger = loaded; reserved = false }
#else
  :: atomic { phase == OWNED && !loadInFlight[me] && !unloadInFlight[me] ->
       ledger = loaded; reserved = false }
#endif
  /* RowSeen with another owner, or the engine fenced this node. */
  :: atomic { phase == OWNED && rowOwner != me -> phase = WATCHING }
  /* Release, with no order in flight. */
  :: atomic { phase == OWNED && !loadInFlight[me] && !unloadInFlight[me] -> phase = RELEASING }
  :: atomic { phase == RELEASING ->
       if
       :: rowOwner == me && rowEpoch == epoch -> rowOwner = NOBODY; rowVersion++
       :: else
       fi;
       phase = WATCHING }
  /* The process dies and a new one starts on its address. Orders in flight stay in flight. */
  :: atomic { phase != WATCHING && rowOwner == me && !restarted[me] ->
       restarted[me] = true; phase = WATCHING; ledger = 0; reserved = false }
  od
}

init {
  atomic { run Node(0); run Node(1) }
}
