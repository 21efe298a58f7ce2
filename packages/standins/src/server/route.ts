import type { StandInRequest } from "./standInRequest";

/** One route of a stand-in. */
export interface Route {
    readonly method: string;
    /** Pattern of the whole path. */
    readonly pattern: RegExp;
    readonly handle: (request: StandInRequest) => Promise<void> | void;
}
