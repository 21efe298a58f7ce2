import type { UpstreamRecord } from "../upstreams/upstreamRecord";
import type { Statement } from "./statement";

/** A start of an upstream. */
type Start = Pick<UpstreamRecord, "upstreamId" | "startedAtMs">;

/** The newest statement of each start of an upstream, whichever host has received it. */
export interface Statements {
    /**
     * Records what an answer states at a shared time: a number a second, or undefined for none. Returns whether this
     * changes the statement; an older answer than the newest one changes nothing.
     */
    readonly observe: (start: Start, perS: number | undefined, atMs: number) => boolean;
    readonly find: (start: Start) => Statement | undefined;
    readonly list: () => readonly Statement[];
    /** For the other hosts; a number of -1 stands for a statement that is no longer made. */
    readonly rows: () => readonly (readonly [
        upstreamId: string,
        startedAtMs: number,
        statedAtMs: number,
        perS: number,
    ])[];
    /** Removes the statements for which the function returns false. */
    readonly retain: (isKnown: (statement: Statement) => boolean) => void;
}
