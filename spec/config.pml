/*
 * Replication of one configuration object to two nodes. The object is written
 * three times, and the second write deletes it. The nodes read lists, outdated
 * lists and watches from the platform, and pull from each other.
 *
 * Invariants: the revision of a node and the version of its object never
 * decrease; a deleted object is not restored by an older version; when all
 * changes are delivered, both nodes hold the state of the platform.
 *
 * Mutants: OLD_LIST (a list is applied whatever its revision is), NO_TOMBSTONE
 * (no tombstone is kept for a deletion), SKIP_GAP (a delta is applied although
 * the changes that precede it are missing).
 */
#define LAST_REVISION 3
#define DELETION_REVISION 2

byte platformRevision = 0;       /* revision of the platform's store */
byte nodeRevision[2];            /* revision of each node */
byte liveVersion[2];             /* version of the live object at each node, or 0 */
byte tombstone[2];               /* revision of the known deletion at each node, or 0 */

/* Version of the object at a revision, 0 if it is deleted or not yet created. */
#define versionAt(r) ((r == 0 || r == DELETION_REVISION) -> 0 : r)

inline applyList(node, r) {
#ifdef OLD_LIST
  if
  :: true ->
#else
  if
  :: r > nodeRevision[node] ->
#endif
     if
     :: versionAt(r) == 0 && liveVersion[node] > 0 -> tombstone[node] = r; liveVersion[node] = 0
     :: versionAt(r) > 0 -> liveVersion[node] = versionAt(r)
     :: else
     fi;
     assert(r >= nodeRevision[node]);
     nodeRevision[node] = r
#ifndef OLD_LIST
  :: else
#endif
  fi
}

/* Applies a delta of the changes in (from, through], from a watch or a peer. */
inline applyDelta(node, from, through) {
  if
#ifdef SKIP_GAP
  :: through > nodeRevision[node] ->
#else
  :: through > nodeRevision[node] && from <= nodeRevision[node] ->
#endif
     if
     :: DELETION_REVISION > from && DELETION_REVISION <= through && liveVersion[node] < DELETION_REVISION -> liveVersion[node] = 0; tombstone[node] = DELETION_REVISION
     :: else
     fi;
     if
     :: through != DELETION_REVISION && through > from && (through > DELETION_REVISION || from < 1) && versionAt(through) > tombstone[node] ->
        liveVersion[node] = versionAt(through)
     :: else
     fi;
     nodeRevision[node] = through
  :: else
  fi
}

proctype writer() {
  do
  :: platformRevision < LAST_REVISION -> platformRevision++
  :: platformRevision == LAST_REVISION -> break
  od
}

proctype node(byte self) {
  byte r, from, previous, rounds;
  do
  :: nodeRevision[self] < LAST_REVISION && rounds < 6 ->
     atomic {
       rounds++;
       previous = nodeRevision[self];
       if
       :: select(r : 0 .. 3); if :: r <= platformRevision -> applyList(self, r) :: else fi
       :: from = nodeRevision[self]; applyDelta(self, from, platformRevision)
#ifdef SKIP_GAP
       :: platformRevision == LAST_REVISION -> from = DELETION_REVISION; applyDelta(self, from, nodeRevision[1 - self])
#endif
       :: /* pull from the other node, which answers from its own state */
          if
          :: nodeRevision[1 - self] > nodeRevision[self] ->
#ifdef NO_TOMBSTONE
             if
             :: liveVersion[1 - self] > 0 -> liveVersion[self] = liveVersion[1 - self]
             :: else
             fi;
             nodeRevision[self] = nodeRevision[1 - self]
#else
             from = nodeRevision[self]; applyDelta(self, from, nodeRevision[1 - self])
#endif
          :: else
          fi
       fi;
       assert(nodeRevision[self] >= previous);
       assert(liveVersion[self] == versionAt(nodeRevision[self]));
       r = 0; from = 0
     }
  :: nodeRevision[self] == LAST_REVISION || rounds == 6 -> break
  od;
  /* Finally the node reads all remaining changes from the platform. */
  (platformRevision == LAST_REVISION);
  atomic {
    if
    :: nodeRevision[self] < LAST_REVISION -> applyList(self, LAST_REVISION)
    :: else
    fi;
    assert(liveVersion[self] == LAST_REVISION && nodeRevision[self] == LAST_REVISION)
  }
}

init { atomic { run writer(); run node(0); run node(1) } }
