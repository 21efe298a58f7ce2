import type { ResourceResponse } from "../client/resourceResponse";

/** List of resources as returned by the administration API. */
export interface ListResponse {
    readonly revision: number;
    readonly resources: readonly ResourceResponse[];
}
