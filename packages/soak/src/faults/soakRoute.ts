import type { RequestKind } from "../records/requestKind";

/** A route that callers use. */
export interface SoakRoute {
    readonly name: string;
    readonly kind: RequestKind;
}
