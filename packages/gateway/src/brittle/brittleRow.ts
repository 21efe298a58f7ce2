/**
 * What a host knows of a brittle upstream, for the other hosts. `rejectionsPerS` is -1 if answers no longer state a number;
 * `rejectedAtMs` is the shared time of the newest rejection and `exceededAtMs` the newest one at which a host had more
 * requests in flight there than slots of its own; 0 for none.
 */
export type BrittleRow = readonly [
    upstreamId: string,
    startedAtMs: number,
    statedAtMs: number,
    rejectionsPerS: number,
    rejectedAtMs: number,
    exceededAtMs: number,
];
