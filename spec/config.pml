/*
 * Configuration: two operators write concurrently; two nodes read revisions from the platform and
 * from each other.
 *
 * NO_CAS       fault: a change is written without checking the head revision
 * TAKE_ANY     fault: a node applies any revision that a peer sends, also an older one
 */
#define MAX_REVISION 4
#define NODES 2

byte head = 0;
byte writer[6];          /* operator that wrote each revision; 0 if none */
byte activeRevision[NODES];
byte highestSeen[NODES];

proctype Operator(byte me) {
  byte seen;
  bool accepted;
  do
  :: head < MAX_REVISION ->
       seen = head;
       atomic {
#ifdef NO_CAS
         accepted = true;
#else
         accepted = (head == seen);
#endif
         if
         :: accepted ->
              head = seen + 1;
              assert(writer[head] == 0);   /* an accepted change is never overwritten */
              writer[head] = me
         :: else
         fi
       }
  :: else -> break
  od
}

proctype Node(byte me) {
  byte received;
end:
  do
  /* Reads from the platform; the revision may be outdated when the response arrives. */
  :: received = head;
     atomic {
       if :: received > activeRevision[me] -> activeRevision[me] = received :: else fi;
       assert(activeRevision[me] >= highestSeen[me]); highestSeen[me] = activeRevision[me] }
  /* Reads from the peer while the platform is unavailable. */
  :: received = activeRevision[1 - me];
     atomic {
#ifdef TAKE_ANY
       activeRevision[me] = received;
#else
       if :: received > activeRevision[me] -> activeRevision[me] = received :: else fi;
#endif
       assert(activeRevision[me] >= highestSeen[me]); highestSeen[me] = activeRevision[me] }
  od
}

init {
  atomic { run Operator(1); run Operator(2); run Node(0); run Node(1) }
}
