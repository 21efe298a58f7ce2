import type { ResourceAnswer } from "../client/resourceAnswer";

/** Resources of a kind as the administration API answers them. */
export interface ListAnswer {
    readonly revision: number;
    readonly resources: readonly ResourceAnswer[];
}
