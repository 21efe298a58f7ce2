import type { ShardHead } from "../model/shardHead";
import type { OperationResult } from "./operationResult";

/** New head and result of one operation; the head is the same object if nothing changed. */
export interface Transition {
    readonly head: ShardHead;
    readonly result: OperationResult;
}
