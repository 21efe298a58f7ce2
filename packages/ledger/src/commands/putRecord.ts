import type { ActionRecord } from "../model/actionRecord";
import type { ShardHead } from "../model/shardHead";
import { recordIdOf } from "../queries/recordIdOf";

/** Returns a copy of the head with a record added or replaced. */
export const putRecord = (head: ShardHead, record: ActionRecord): ShardHead => ({
    ...head,
    records: { ...head.records, [recordIdOf(record)]: record },
});
