/*
 * Two attempts claim the same unrepeatable key while the set of claim holders
 * changes.
 *
 * Nodes 0, 1 and 2 are the holders of assignment 1, nodes 1, 2 and 3 those of
 * assignment 2. A message may be delivered at any time, more than once, or
 * never. A node may restart and then loses its records. The only aspect of time
 * that matters is whether the records of a holder start before or after the key
 * was issued, so the clock is reduced to the bit keyIssued. MaxClockSkew of the
 * code is zero here. Responses are never lost; losing some could only reduce
 * the number of majorities that the attempts know of.
 *
 * Invariant: the two attempts never both have a majority of grants under one
 * assignment, whether it is the same assignment or a different one for each.
 *
 * Mutants, each with one guard removed, which spin must refute:
 *   NO_HORIZON     a holder grants keys that were issued before its horizon
 *   KEEP_ATTEMPT   a grant under the old assignment counts again under the next
 *   NO_SEAL        a sealed holder still grants claims
 *   ANY_HANDOVER   new holders start before a majority of the old ones has
 *                  stopped granting
 *   NO_INCARNATION a restarted process is taken for the one in the assignment
 *   NO_RESET       a handover that needs ended holders for its majority keeps
 *                  the old horizon
 */
#define NODES 4
#define MAX_RESTARTS 2

/* Owner of the key at a holder: attempt 1 or 2, or one of these values. A key
   without owner was carried over from assignment 1, and no attempt can claim it. */
#define UNCLAIMED 0
#define NO_OWNER 3

/* Result of sealing an old holder during the change of holders. */
#define NO_RESPONSE 0
#define ENDED 1
#define SEALED 2

bit keyIssued = 0;
byte currentAssignment = 1;      /* the assignment stored on the platform */
bit handedOver = 0;              /* the records of the old holders are merged */
byte restarts = 0;

byte assignment[NODES];          /* the assignment that the records belong to */
bit serving[NODES];
bit sealed[NODES];
bit installed[NODES];
bit keyBeforeHorizon[NODES];     /* the key was issued before the holder's horizon */
byte owner[NODES];
bit ended[NODES];                /* the process listed in assignment 1 has ended */
bit endedNext[NODES];            /* the process listed in assignment 2 has ended */

/* Results of sealing nodes 0 to 2, and the handover merged from them. */
byte sealResult[3];
bit resultBeforeHorizon[3];
byte resultOwner[3];
bit mergedBeforeHorizon = 0;
byte mergedOwner = UNCLAIMED;

/* The grants of each node, as a bit set. The grant to an attempt under the
   assignment with a number is bit 2 * (number - 1) + (attempt - 1). */
byte grants[NODES];

#define isHolder(number, node) ((number == 1 && node != 3) || (number == 2 && node != 0))
#define grantBit(number, attempt) (1 << (2 * (number - 1) + (attempt - 1)))
#define hasGrant(node, mask) ((grants[node] & mask) != 0)
#define majority(mask) ((hasGrant(0, mask) + hasGrant(1, mask) + hasGrant(2, mask) + hasGrant(3, mask)) >= 2)
#define hasWon(attempt) (majority(grantBit(1, attempt)) || majority(grantBit(2, attempt)))

inline claim(node, number, attempt) {
  if
  :: isHolder(number, node) && assignment[node] == number && serving[node] ->
     if
     :: owner[node] == attempt -> grants[node] = grants[node] | grantBit(number, attempt)
#ifdef NO_HORIZON
     :: owner[node] == UNCLAIMED && !sealed[node] ->
#else
#ifdef NO_SEAL
     :: owner[node] == UNCLAIMED && !keyBeforeHorizon[node] ->
#else
     :: owner[node] == UNCLAIMED && !sealed[node] && !keyBeforeHorizon[node] ->
#endif
#endif
        owner[node] = attempt; grants[node] = grants[node] | grantBit(number, attempt)
     :: else
     fi
  :: else
  fi;
  assert(!(hasWon(1) && hasWon(2)))
}

inline reset(node, number) {
  assignment[node] = number; serving[node] = 0; sealed[node] = 0; installed[node] = 0; owner[node] = UNCLAIMED; keyBeforeHorizon[node] = 0
}

/* Holder.Serve and Holder.Retire: a node reads the current assignment. */
inline observeAssignment(node) {
  if
  :: !isHolder(currentAssignment, node) && assignment[node] < currentAssignment -> reset(node, currentAssignment)
  :: isHolder(currentAssignment, node) && assignment[node] < currentAssignment && !(currentAssignment == 1 && ended[node]) && !(currentAssignment == 2 && endedNext[node]) ->
     reset(node, currentAssignment); keyBeforeHorizon[node] = keyIssued; serving[node] = 1
  :: isHolder(currentAssignment, node) && assignment[node] == currentAssignment && !serving[node] && !(currentAssignment == 2 && endedNext[node]) -> serving[node] = 1
  :: else
  fi
}

inline restart(node) {
  restarts++;
#ifdef NO_INCARNATION
  owner[node] = UNCLAIMED; sealed[node] = 0
#else
  ended[node] = 1; endedNext[node] = handedOver; reset(node, 0)
#endif
}

/* Holder.Seal, and the delivery of its result. */
inline seal(node) {
  if
  :: ended[node] -> sealResult[node] = ENDED
  :: !ended[node] && assignment[node] == 1 && serving[node] ->
     sealed[node] = 1; sealResult[node] = SEALED; resultBeforeHorizon[node] = keyBeforeHorizon[node]; resultOwner[node] = owner[node]
  :: !ended[node] && assignment[node] == 2 && !serving[node] && installed[node] ->
     sealResult[node] = SEALED; resultBeforeHorizon[node] = keyBeforeHorizon[node]; resultOwner[node] = owner[node]
  :: else
  fi
}

#define stoppedCount ((sealResult[0] != NO_RESPONSE) + (sealResult[1] != NO_RESPONSE) + (sealResult[2] != NO_RESPONSE))
#define sealedCount ((sealResult[0] == SEALED) + (sealResult[1] == SEALED) + (sealResult[2] == SEALED))

inline mergeResult(node) {
  if
  :: sealResult[node] == SEALED ->
     mergedBeforeHorizon = mergedBeforeHorizon | resultBeforeHorizon[node];
#ifdef KEEP_ATTEMPT
     mergedOwner = (resultOwner[node] != UNCLAIMED -> resultOwner[node] : mergedOwner)
#else
     mergedOwner = (resultOwner[node] != UNCLAIMED -> NO_OWNER : mergedOwner)
#endif
  :: else
  fi
}

/* NewHandover. */
inline handover() {
  mergeResult(0); mergeResult(1); mergeResult(2);
#ifndef NO_RESET
  if
  :: sealedCount < 2 -> mergedBeforeHorizon = keyIssued
  :: else
  fi;
#endif
  resultBeforeHorizon[0] = 0; resultBeforeHorizon[1] = 0; resultBeforeHorizon[2] = 0;
  resultOwner[0] = 0; resultOwner[1] = 0; resultOwner[2] = 0;
  handedOver = 1
}

inline install(node) {
  reset(node, 2); installed[node] = 1; keyBeforeHorizon[node] = mergedBeforeHorizon; owner[node] = mergedOwner
}

active proctype environment() {
  byte node, number, attempt;
  atomic {
    assignment[0] = 1; assignment[1] = 1; assignment[2] = 1;
    serving[0] = 1; serving[1] = 1; serving[2] = 1
  };
  do
  :: atomic { !keyIssued -> keyIssued = 1 }
  :: atomic { keyIssued -> select(node : 0 .. 3); select(number : 1 .. 2); select(attempt : 1 .. 2);
       claim(node, number, attempt); node = 0; number = 0; attempt = 0 }
  :: atomic { select(node : 0 .. 3); observeAssignment(node); node = 0 }
  :: atomic { restarts < MAX_RESTARTS -> select(node : 0 .. 2); restart(node); node = 0 }
  :: atomic { !handedOver -> select(node : 0 .. 2); seal(node); node = 0 }
#ifdef ANY_HANDOVER
  :: atomic { !handedOver && stoppedCount >= 1 -> handover() }
#else
  :: atomic { !handedOver && stoppedCount >= 2 -> handover() }
#endif
  :: atomic { handedOver -> select(node : 1 .. 3); if :: assignment[node] < 2 -> install(node) :: else fi; node = 0 }
  :: atomic { handedOver && currentAssignment == 1 -> currentAssignment = 2 }
  od
}
