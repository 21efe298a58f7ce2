import type { ResourceResponse } from "../client/resourceResponse";

/** Resources of a kind as the administration API answers them. */
export interface ListResponse {
    readonly revision: number;
    readonly resources: readonly ResourceResponse[];
}
