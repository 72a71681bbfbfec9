/*
 * Configuration: two operators race; two nodes take revisions from the platform and from each other.
 *
 * NO_CAS       broken: a change is written without the check of the head revision
 * TAKE_ANY     broken: a node takes whatever revision a peer sends
 */
#define MAX_REVISION 4
#define NODES 2

byte head = 0;
byte winner[6];          /* which operator's change a revision holds; 0 for none */
byte inForce[NODES];
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
              assert(winner[head] == 0);   /* an accepted change is never replaced */
              winner[head] = me
         :: else
         fi
       }
  :: else -> break
  od
}

proctype Node(byte me) {
  byte got;
end:
  do
  /* From the platform; the answer may be old when it arrives. */
  :: got = head;
     atomic {
       if :: got > inForce[me] -> inForce[me] = got :: else fi;
       assert(inForce[me] >= highestSeen[me]); highestSeen[me] = inForce[me] }
  /* From the peer, while the platform is out. */
  :: got = inForce[1 - me];
     atomic {
#ifdef TAKE_ANY
       inForce[me] = got;
#else
       if :: got > inForce[me] -> inForce[me] = got :: else fi;
#endif
       assert(inForce[me] >= highestSeen[me]); highestSeen[me] = inForce[me] }
  od
}

init {
  atomic { run Operator(1); run Operator(2); run Node(0); run Node(1) }
}
