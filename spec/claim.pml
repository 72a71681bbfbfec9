/*
 * At most once: two nodes get the same call with the same idempotency key; callers repeat it.
 *
 * State names are those of io.nutmegseam.core.claim.ClaimMachine and ClaimRow. An insert may take
 * effect now, later, or never, while its answer is lost. A node may die after any step.
 *
 * DISPATCH_FIRST  broken: the call is dispatched before the claim is confirmed
 * NO_READ_BACK    broken: an insert of unknown outcome counts as confirmed
 * FORGET_OWN      broken: an attempt that was refused as "not run" frees a claim that it dispatched
 */
mtype = { INSERTING, READING_BACK, HELD, BLOCKED, REFUSED, ENDED };
mtype = { ABSENT, CLAIMED, DONE, ABANDONED };

#define ATTEMPTS 3
#define NOBODY 255

mtype row = ABSENT;
byte rowAttempt = NOBODY;
byte rowVersion = 0;

/* A write that was sent, but whose effect comes late: at most one an attempt. */
bool late[ATTEMPTS];
byte lateVersion[ATTEMPTS];

byte runs = 0;
bool ran[ATTEMPTS];
bool saidNo[ATTEMPTS];

inline tryInsert(me, expected, done) {
  done = (rowVersion == expected);
  if
  :: done -> row = CLAIMED; rowAttempt = me; rowVersion++
  :: else -> skip
  fi
}

active proctype LateWrites() {
  bool done;
end:
  do
  :: atomic { late[0] -> late[0] = false; tryInsert(0, lateVersion[0], done) }
  :: atomic { late[1] -> late[1] = false; tryInsert(1, lateVersion[1], done) }
  :: atomic { late[2] -> late[2] = false; tryInsert(2, lateVersion[2], done) }
  od
}

proctype Attempt(byte me) {
  mtype phase = INSERTING;
  byte expected = 0;
  byte inserts = 0;
  bool done;
  do
#ifdef DISPATCH_FIRST
  :: atomic { phase == INSERTING -> runs++; ran[me] = true; assert(runs <= 1); phase = ENDED }
#endif
  :: atomic { phase == INSERTING && inserts < 2 ->
       inserts++;
       if
       :: tryInsert(me, expected, done);              /* answered */
          if :: done -> phase = HELD :: else -> phase = READING_BACK fi
       :: tryInsert(me, expected, done);              /* effect, answer lost */
#ifdef NO_READ_BACK
          phase = HELD
#else
          phase = READING_BACK
#endif
       :: !late[me] -> late[me] = true; lateVersion[me] = expected;  /* effect comes late */
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
  /* Dispatch: only a held claim permits it. */
  :: atomic { phase == HELD ->
       if
       :: runs++; ran[me] = true; assert(runs <= 1);
          if
          :: row == CLAIMED && rowAttempt == me -> row = DONE; rowVersion++  /* recorded */
          :: skip                                                           /* not recorded */
#ifdef FORGET_OWN
          :: row == CLAIMED && rowAttempt == me -> row = ABANDONED; rowVersion++; saidNo[me] = true
#endif
          fi
       :: saidNo[me] = true;                          /* proved not run at the server */
          if
          :: row == CLAIMED && rowAttempt == me -> row = ABANDONED; rowVersion++
          :: skip
          fi
       fi;
       phase = ENDED }
  :: atomic { phase == BLOCKED -> phase = ENDED }
  :: atomic { phase == REFUSED ->
       saidNo[me] = true;
       if
       :: row == CLAIMED && rowAttempt == me -> row = ABANDONED; rowVersion++
       :: skip
       fi;
       phase = ENDED }
  :: atomic { phase == ENDED -> assert(!(saidNo[me] && ran[me])); break }
  :: atomic { phase != ENDED -> break }               /* the node dies */
  od
}

init {
  atomic { run Attempt(0); run Attempt(1); run Attempt(2) }
}
