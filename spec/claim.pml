/*
 * At-most-once execution: two nodes receive the same call with the same idempotency key; callers
 * repeat the call.
 *
 * State names are those of io.nutmegseam.core.claim.ClaimStateMachine and ClaimRow. An insert may
 * take effect immediately, later or never, while its response is lost. A node may crash after any
 * step.
 *
 * DISPATCH_FIRST  fault: the call is dispatched before the claim is confirmed
 * NO_READ_BACK    fault: an insert of unknown outcome is treated as confirmed
 * FORGET_OWN      fault: an attempt that dispatched the call abandons its claim as "not run"
 */
mtype = { INSERTING, READING_BACK, HELD, BLOCKED, REFUSED, ENDED };
mtype = { ABSENT, CLAIMED, DONE, ABANDONED };

#define ATTEMPTS 3
#define NO_ATTEMPT 255

mtype row = ABSENT;
byte rowAttempt = NO_ATTEMPT;
byte rowVersion = 0;

/* Inserts that were sent but have not taken effect yet: at most one per attempt. */
bool delayedInsert[ATTEMPTS];
byte delayedVersion[ATTEMPTS];

byte runs = 0;
bool ran[ATTEMPTS];
bool reportedNotRun[ATTEMPTS];

inline tryInsert(me, expected, applied) {
  applied = (rowVersion == expected);
  if
  :: applied -> row = CLAIMED; rowAttempt = me; rowVersion++
  :: else -> skip
  fi
}

active proctype DelayedInserts() {
  bool applied;
end:
  do
  :: atomic { delayedInsert[0] ->
       delayedInsert[0] = false; tryInsert(0, delayedVersion[0], applied) }
  :: atomic { delayedInsert[1] ->
       delayedInsert[1] = false; tryInsert(1, delayedVersion[1], applied) }
  :: atomic { delayedInsert[2] ->
       delayedInsert[2] = false; tryInsert(2, delayedVersion[2], applied) }
  od
}

proctype Attempt(byte me) {
  mtype phase = INSERTING;
  byte expected = 0;
  byte inserts = 0;
  bool applied;
  do
#ifdef DISPATCH_FIRST
  :: atomic { phase == INSERTING -> runs++; ran[me] = true; assert(runs <= 1); phase = ENDED }
#endif
  :: atomic { phase == INSERTING && inserts < 2 ->
       inserts++;
       if
       :: tryInsert(me, expected, applied);           /* applied, response received */
          if :: applied -> phase = HELD :: else -> phase = READING_BACK fi
       :: tryInsert(me, expected, applied);           /* applied, response lost */
#ifdef NO_READ_BACK
          phase = HELD
#else
          phase = READING_BACK
#endif
       :: !delayedInsert[me] ->                           /* applied later */
          delayedInsert[me] = true; delayedVersion[me] = expected;
#ifdef NO_READ_BACK
          phase = HELD
#else
          phase = READING_BACK
#endif
       fi }
  :: atomic { phase == INSERTING && inserts >= 2 -> phase = REFUSED }
  :: atomic { phase == READING_BACK ->
       if
       :: row == ABSENT -> expected = 0; phase = INSERTING
       :: row == ABANDONED -> expected = rowVersion; phase = INSERTING
       :: row == CLAIMED && rowAttempt == me -> phase = HELD
       :: row == CLAIMED && rowAttempt != me -> phase = BLOCKED
       :: row == DONE -> phase = BLOCKED
       :: phase = REFUSED                              /* the store cannot be read */
       fi }
  /* Dispatches the call, which only a held claim permits. */
  :: atomic { phase == HELD ->
       if
       :: runs++; ran[me] = true; assert(runs <= 1);
          if
          :: row == CLAIMED && rowAttempt == me -> row = DONE; rowVersion++  /* recorded */
          :: skip                                                           /* not recorded */
#ifdef FORGET_OWN
          :: row == CLAIMED && rowAttempt == me ->
             row = ABANDONED; rowVersion++; reportedNotRun[me] = true
#endif
          fi
       :: reportedNotRun[me] = true;       /* the server proved that the call did not run */
          if
          :: row == CLAIMED && rowAttempt == me -> row = ABANDONED; rowVersion++
          :: skip
          fi
       fi;
       phase = ENDED }
  :: atomic { phase == BLOCKED -> phase = ENDED }
  :: atomic { phase == REFUSED ->
       reportedNotRun[me] = true;
       if
       :: row == CLAIMED && rowAttempt == me -> row = ABANDONED; rowVersion++
       :: skip
       fi;
       phase = ENDED }
  :: atomic { phase == ENDED -> assert(!(reportedNotRun[me] && ran[me])); break }
  :: atomic { phase != ENDED -> break }               /* the node crashes */
  od
}

init {
  atomic { run Attempt(0); run Attempt(1); run Attempt(2) }
}
