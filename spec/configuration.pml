/* Configuration in a log whose records expire: package catalog (Replay) and control (snapshots).
 *
 * The state after offset n is abstracted to n itself: a reader that has folded everything below an
 * offset "knows" that offset. A snapshot has two chunks, which two VMs may write at the same time. The
 * log drops its oldest records at any time. VMs crash and start with nothing, or take a peer's state.
 *
 * Properties: a VM that counts its state as whole has folded every record below it, without a hole, and
 * while it runs its offset never falls.
 *
 * Broken variants: ANY_SNAPSHOT, MIXED_CHUNKS, ADOPT_OLDER, SKIP_GAP.
 */
#define N 2
#define MAXLOG 6

#define WRITE 1
#define CHUNK0 2
#define CHUNK1 3

byte kind[MAXLOG];
byte covers[MAXLOG];
byte writer[MAXLOG];
byte first = 0;
byte head = 0;

byte next[N];            /* the offset up to which a VM's state reaches */
bool whole[N];           /* the VM counts its state as whole */
bool hole[N];            /* the state misses a record below next: never allowed while whole */

/* Temporaries of atomic steps are not part of the state. */
hidden byte at; hidden byte c0; hidden byte c1; hidden byte w0; hidden byte w1; hidden byte before;
hidden byte ok;

inline append(k, c, w) {
  if
  :: head < MAXLOG -> kind[head] = k; covers[head] = c; writer[head] = w; head++
  :: else
  fi
}

inline check(v) {
  assert(!(whole[v] && hole[v]))
}

active proctype Operator() {
  do
  :: atomic { head < MAXLOG -> append(WRITE, 0, 0) }
  :: break
  od
}

active proctype Expiry() {
  do
  :: atomic { first < head -> kind[first] = 0; covers[first] = 0; writer[first] = 0; first++ }
  :: break
  od
}

active [N] proctype VM() {
  byte v = _pid - 2;
  byte peer = 1 - v;
  byte snapshot = 0;
  whole[v] = true;
  do
  /* reads the next record */
  :: atomic {
       whole[v] && next[v] < head ->
       before = next[v];
       if
       :: next[v] >= first -> next[v]++
#ifdef SKIP_GAP
       :: next[v] < first -> hole[v] = true; next[v] = first + 1
#else
       :: next[v] < first -> whole[v] = false       /* records expired unread */
#endif
       fi;
       assert(next[v] >= before);
       check(v)
     }
  /* restores a snapshot whose chunks are both retained */
  :: atomic {
       !whole[v] && head > first ->
       c0 = 255; c1 = 255; w0 = 255; w1 = 254; at = first;
       do
       :: at < head ->
            if
            :: kind[at] == CHUNK0 -> c0 = covers[at]; w0 = writer[at]
            :: kind[at] == CHUNK1 -> c1 = covers[at]; w1 = writer[at]
            :: else
            fi;
            at++
       :: else -> break
       od;
#ifdef MIXED_CHUNKS
       ok = (c0 != 255 && c1 != 255);
#else
       ok = (c0 != 255 && c0 == c1 && w0 == w1);
#endif
#ifndef ANY_SNAPSHOT
       ok = ok && c0 >= first;
#endif
       ok = ok && c0 >= next[v];
       if
       :: ok ->
            before = next[v];
            hole[v] = (c0 != c1) || (c0 < first);
            next[v] = (c0 < first -> first : c0);
            whole[v] = true;
            assert(next[v] >= before);
            check(v)
       :: else
       fi
     }
  /* takes the state of its peer */
  :: atomic {
       whole[peer] ->
       before = next[v];
       if
#ifdef ADOPT_OLDER
       :: true -> next[v] = next[peer]; hole[v] = hole[peer]; whole[v] = true
#else
       :: next[peer] > next[v] || (!whole[v] && next[peer] >= next[v]) ->
            next[v] = next[peer]; hole[v] = hole[peer]; whole[v] = true
       :: else
#endif
       fi;
       assert(next[v] >= before);
       check(v)
     }
  /* writes the two chunks of a snapshot, not at once */
  :: atomic { whole[v] && next[v] > 0 && head < MAXLOG -> snapshot = next[v]; append(CHUNK0, snapshot, v) };
     atomic { append(CHUNK1, snapshot, v); snapshot = 0 }
  /* crashes and starts with nothing */
  :: atomic { next[v] > 0 -> next[v] = 0; hole[v] = false; whole[v] = (first == 0) }
  :: break
  od
}
