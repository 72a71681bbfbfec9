/*
 * Moves of one replica slot between the owners of two servers.
 *
 * State names are those of io.nutmegseam.core.placement.PlacementRow. An owner reads the row with a
 * delay, so its copy may be outdated, and loads only if its copy places the slot on its server. The
 * planner moves the slot in two steps. A planner may crash between the steps: the protocol does not
 * depend on its memory. Owners may be replaced; a new owner reads the inventory before it frees a
 * slot.
 *
 * ONE_STEP       fault: the planner places the slot on another server without draining it first
 * FREE_UNPROVED  fault: the owner frees the slot without proof from the inventory
 */
mtype = { FREE, PLACED, DRAINING };

#define SERVERS 2
#define NO_SERVER 255
#define MAX_GENERATION 6

mtype state = FREE;
byte server = NO_SERVER;
byte generation = 0;

byte loaded[SERVERS];
bool loadInFlight[SERVERS];

#define REPLICAS (loaded[0] + loaded[1])

active proctype Engines() {
end:
  do
  :: atomic { loadInFlight[0] -> loadInFlight[0] = false; loaded[0] = 1; assert(REPLICAS <= 1) }
  :: atomic { loadInFlight[1] -> loadInFlight[1] = false; loaded[1] = 1; assert(REPLICAS <= 1) }
  od
}

/* Two planners may run concurrently, since each write is a compare-and-set. */
proctype Planner() {
  byte seen;
  mtype seenState;
  byte seenServer;
end:
  do
  :: atomic { seen = generation; seenState = state; seenServer = server };
     if
     :: atomic { generation == seen && generation < MAX_GENERATION && seenState == FREE ->
          state = PLACED; generation++; if :: server = 0 :: server = 1 fi }
     :: atomic { generation == seen && generation < MAX_GENERATION && seenState == PLACED ->
#ifdef ONE_STEP
          generation++; server = 1 - seenServer
#else
          generation++; state = DRAINING
#endif
        }
     :: atomic { else -> skip }
     fi
  od
}

proctype Owner(byte me) {
  mtype copyState = FREE;
  byte copyServer = NO_SERVER;
  byte copyGeneration = 0;
  bool reserved = false;
end:
  do
  /* Reads the row at any time. */
  :: atomic { copyState = state; copyServer = server; copyGeneration = generation }
  /* Loads the slot if the row copy places it on this server. */
  :: atomic { copyState == PLACED && copyServer == me && !loaded[me] && !reserved ->
       reserved = true; loadInFlight[me] = true }
  /* Inventory read: clears the reservation once the order has arrived. */
  :: atomic { reserved && !loadInFlight[me] -> reserved = false }
  /* Unloads the slot if the row copy does not place it on this server. */
  :: atomic { loaded[me] && !(copyState == PLACED && copyServer == me) -> loaded[me] = 0 }
  /* Frees a draining slot once the inventory proves that nothing is loaded or in flight. */
#ifdef FREE_UNPROVED
  :: atomic { copyState == DRAINING && copyServer == me && generation == copyGeneration &&
       generation < MAX_GENERATION ->
       state = FREE; server = NO_SERVER; generation++ }
#else
  :: atomic { copyState == DRAINING && copyServer == me && generation == copyGeneration &&
       generation < MAX_GENERATION && !loaded[me] && !loadInFlight[me] && !reserved ->
       state = FREE; server = NO_SERVER; generation++ }
#endif
  /* A new owner takes over with no state and waits until orders in flight have settled. */
  :: atomic { !loadInFlight[me] ->
       copyState = FREE; copyServer = NO_SERVER; copyGeneration = 0; reserved = false }
  od
}

init {
  atomic { run Planner(); run Planner(); run Owner(0); run Owner(1) }
}
