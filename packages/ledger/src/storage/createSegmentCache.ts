import type { Failure } from "@ibislanding/core";
import { Ok, type Result } from "ts-results";
import type { ActionRecord } from "../model/actionRecord";
import type { SealedRecord } from "../model/sealedRecord";
import type { Segment } from "../model/segment";
import type { SegmentReference } from "../model/segmentReference";
import { recordIdOf } from "../queries/recordIdOf";
import type { SegmentCache } from "./segmentCache";
import type { ShardStorage } from "./shardStorage";

const withoutAnswer = ({ answer: _answer, ...record }: ActionRecord): Omit<ActionRecord, "answer"> => record;

const toIndex = (segmentKey: string, { records }: Segment): ReadonlyMap<string, SealedRecord> =>
    new Map(records.map(record => [recordIdOf(record), { record: withoutAnswer(record), segmentKey }]));

/** Creates an empty cache of the segment indexes of a shard. */
export const createSegmentCache = (storage: ShardStorage): SegmentCache => {
    const indexes = new Map<string, ReadonlyMap<string, SealedRecord>>();

    const load = async (key: string): Promise<Result<unknown, Failure>> => {
        const result = await storage.readSegment(key);
        return result.map(segment => indexes.set(key, toIndex(key, segment)));
    };

    const evictUnreferenced = (segments: readonly SegmentReference[]): void => {
        const kept = new Set(segments.map(({ key }) => key));
        [...indexes.keys()].filter(key => !kept.has(key)).forEach(key => indexes.delete(key));
    };

    return {
        indexOf: async segments => {
            const missing = segments.filter(({ key }) => !indexes.has(key));
            const failed = (await Promise.all(missing.map(({ key }) => load(key)))).find(result => result.err);
            if (failed?.err) {
                return failed;
            }
            evictUnreferenced(segments);
            const newestFirst = segments.map(({ key }) => indexes.get(key)).reverse();
            return Ok({
                find: recordId => newestFirst.find(index => index?.has(recordId))?.get(recordId),
            });
        },
        add: (key, segment) => {
            indexes.set(key, toIndex(key, segment));
        },
    };
};
