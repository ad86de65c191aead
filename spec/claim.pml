/*
 * Claims of one unrepeatable key by two attempts, over a change of holders.
 *
 * Nodes 0, 1, 2 hold assignment 1; nodes 1, 2, 3 hold assignment 2. Any message
 * may come at any time, again, or never; nodes may restart and lose their
 * memory. Of time, only the order of a memory's beginning and the key's issue
 * matters, so the clock is the one bit "the key has been issued"; the clock
 * bound of the code is zero here. Answers are never lost: that only gives the
 * attempts more wins.
 *
 * Invariant: the two attempts never both have a majority, each under any one
 * assignment.
 *
 * Mutants, each with one guard removed, which spin must refute:
 *   NO_HORIZON     a holder grants keys from before its memory
 *   KEEP_ATTEMPT   an old grant counts again under the next assignment
 *   NO_SEAL        a sealed holder goes on granting
 *   ANY_HANDOVER   new holders start before a majority of the old has stopped
 *   NO_INCARNATION a restarted process passes for the listed one
 *   NO_RESET       a handover that needs gone holders keeps the old horizon
 */
#define NODES 4
#define RESTARTS 2

/* owners of a key on a holder: an attempt, 1 or 2, or: */
#define NOBODY 0
#define ERASED 3

/* what the change of holders heard of each old holder */
#define SILENT 0
#define GONE 1
#define SEALED 2

bit issued = 0;
byte inForce = 1;                /* the platform's assignment */
bit moving = 0;                  /* the handover has been made */
byte restarts = 0;

byte serves[NODES];              /* the assignment that the memory belongs to */
bit serving[NODES];
bit sealed[NODES];
bit installed[NODES];
bit late[NODES];                 /* the memory began after the key's issue */
byte owner[NODES];
bit ended[NODES];                /* the process listed by assignment 1 has ended */
bit endedNext[NODES];            /* the one listed by assignment 2 has ended */

byte heard[3];                   /* by the change of holders, of nodes 0..2 */
bit heardLate[3];
byte heardOwner[3];
bit mergedLate = 0;
byte mergedOwner = NOBODY;

/* bit 2 * (number - 1) + (attempt - 1) of grants[node] */
byte grants[NODES];

#define inSet(number, node) ((number == 1 && node != 3) || (number == 2 && node != 0))
#define grantBit(number, attempt) (1 << (2 * (number - 1) + (attempt - 1)))
#define has(node, mask) ((grants[node] & mask) != 0)
#define majority(mask) ((has(0, mask) + has(1, mask) + has(2, mask) + has(3, mask)) >= 2)
#define won(attempt) (majority(grantBit(1, attempt)) || majority(grantBit(2, attempt)))

inline claim(node, number, attempt) {
  if
  :: inSet(number, node) && serves[node] == number && serving[node] ->
     if
     :: owner[node] == attempt -> grants[node] = grants[node] | grantBit(number, attempt)
#ifdef NO_HORIZON
     :: owner[node] == NOBODY && !sealed[node] ->
#else
#ifdef NO_SEAL
     :: owner[node] == NOBODY && !late[node] ->
#else
     :: owner[node] == NOBODY && !sealed[node] && !late[node] ->
#endif
#endif
        owner[node] = attempt; grants[node] = grants[node] | grantBit(number, attempt)
     :: else
     fi
  :: else
  fi;
  assert(!(won(1) && won(2)))
}

inline reset(node, number) {
  serves[node] = number; serving[node] = 0; sealed[node] = 0; installed[node] = 0; owner[node] = NOBODY; late[node] = 0
}

/* Holder.Serve and Holder.Retire: a node learns the assignment in force. */
inline learn(node) {
  if
  :: !inSet(inForce, node) && serves[node] < inForce -> reset(node, inForce)
  :: inSet(inForce, node) && serves[node] < inForce && !(inForce == 1 && ended[node]) && !(inForce == 2 && endedNext[node]) ->
     reset(node, inForce); late[node] = issued; serving[node] = 1
  :: inSet(inForce, node) && serves[node] == inForce && !serving[node] && !(inForce == 2 && endedNext[node]) -> serving[node] = 1
  :: else
  fi
}

inline restart(node) {
  restarts++;
#ifdef NO_INCARNATION
  owner[node] = NOBODY; sealed[node] = 0
#else
  ended[node] = 1; endedNext[node] = moving; reset(node, 0)
#endif
}

/* Holder.Seal, with its answer. */
inline seal(node) {
  if
  :: ended[node] -> heard[node] = GONE
  :: !ended[node] && serves[node] == 1 && serving[node] ->
     sealed[node] = 1; heard[node] = SEALED; heardLate[node] = late[node]; heardOwner[node] = owner[node]
  :: !ended[node] && serves[node] == 2 && !serving[node] && installed[node] ->
     heard[node] = SEALED; heardLate[node] = late[node]; heardOwner[node] = owner[node]
  :: else
  fi
}

#define stopped ((heard[0] != SILENT) + (heard[1] != SILENT) + (heard[2] != SILENT))
#define memories ((heard[0] == SEALED) + (heard[1] == SEALED) + (heard[2] == SEALED))

inline mergeOne(node) {
  if
  :: heard[node] == SEALED ->
     mergedLate = mergedLate | heardLate[node];
#ifdef KEEP_ATTEMPT
     mergedOwner = (heardOwner[node] != NOBODY -> heardOwner[node] : mergedOwner)
#else
     mergedOwner = (heardOwner[node] != NOBODY -> ERASED : mergedOwner)
#endif
  :: else
  fi
}

/* NewHandover. */
inline handover() {
  mergeOne(0); mergeOne(1); mergeOne(2);
#ifndef NO_RESET
  if
  :: memories < 2 -> mergedLate = issued
  :: else
  fi;
#endif
  heardLate[0] = 0; heardLate[1] = 0; heardLate[2] = 0;
  heardOwner[0] = 0; heardOwner[1] = 0; heardOwner[2] = 0;
  moving = 1
}

inline install(node) {
  reset(node, 2); installed[node] = 1; late[node] = mergedLate; owner[node] = mergedOwner
}

active proctype environment() {
  byte node, number, attempt;
  atomic {
    serves[0] = 1; serves[1] = 1; serves[2] = 1;
    serving[0] = 1; serving[1] = 1; serving[2] = 1
  };
  do
  :: atomic { !issued -> issued = 1 }
  :: atomic { issued -> select(node : 0 .. 3); select(number : 1 .. 2); select(attempt : 1 .. 2);
       claim(node, number, attempt); node = 0; number = 0; attempt = 0 }
  :: atomic { select(node : 0 .. 3); learn(node); node = 0 }
  :: atomic { restarts < RESTARTS -> select(node : 0 .. 2); restart(node); node = 0 }
  :: atomic { !moving -> select(node : 0 .. 2); seal(node); node = 0 }
#ifdef ANY_HANDOVER
  :: atomic { !moving && stopped >= 1 -> handover() }
#else
  :: atomic { !moving && stopped >= 2 -> handover() }
#endif
  :: atomic { moving -> select(node : 1 .. 3); if :: serves[node] < 2 -> install(node) :: else fi; node = 0 }
  :: atomic { moving && inForce == 1 -> inForce = 2 }
  od
}
