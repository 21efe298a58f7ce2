import type { RequestKind } from "../records/requestKind";

/** A configured route to which callers send requests. */
export interface SoakRoute {
    readonly name: string;
    readonly kind: RequestKind;
}
