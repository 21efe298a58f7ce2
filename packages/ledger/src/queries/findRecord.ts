import type { ActionRecord } from "../model/actionRecord";
import type { ShardView } from "../model/shardView";

/** Returns the record with the given id; a sealed record is returned without its answer. */
export const findRecord = (view: ShardView, recordId: string): ActionRecord | undefined =>
    view.head.records[recordId] ?? view.sealed.find(recordId)?.record;
