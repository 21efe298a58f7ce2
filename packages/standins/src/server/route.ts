import type { StandInRequest } from "./standInRequest";

/** A route of a stand-in server; the method `*` matches all methods. */
export interface Route {
    readonly method: string;
    /** Matches the whole path; its groups are passed to the handler. */
    readonly pattern: RegExp;
    readonly handle: (request: StandInRequest) => Promise<void> | void;
}
