import { ErrorCode, type Failure } from "@ibislanding/core";
import type { KeyValueStore } from "@ibislanding/platform";
import type { ConfigurationChange } from "@ibislanding/resources";
import { Ok, type Result } from "ts-results";
import type { AuditArchive } from "./auditArchive";

/** Revisions per key prefix; one list call reads one bucket. */
const REVISIONS_PER_BUCKET = 100;

const MAXIMUM_BUCKETS_READ = 20;
const KEY_DIGITS = 15;

const READ_OPTIONS = { cause: "configuration-read", timeoutMs: 1_000 } as const;
const WRITE_OPTIONS = { cause: "configuration-write", timeoutMs: 1_000 } as const;

const bucketOf = (revision: number): number => Math.floor(revision / REVISIONS_PER_BUCKET);

const pad = (value: number): string => String(value).padStart(KEY_DIGITS, "0");

const bucketPrefix = (bucket: number): string => `audit/${pad(bucket)}/`;

const keyOf = (revision: number): string => `${bucketPrefix(bucketOf(revision))}${pad(revision)}`;

/**
 * Creates the audit archive in the key-value service, with one key per change.
 *
 * Keys are created and never overwritten, so that several processes can archive the same change concurrently. If a
 * process dies before it archives a change, the change is archived along with the next one, from the document's recent
 * changes.
 */
export const createKeyValueAuditArchive = (store: KeyValueStore): AuditArchive => {
    let archived: ReadonlySet<number> = new Set();
    let pendingArchive: Promise<void> = Promise.resolve();

    const listBucket = async (bucket: number): Promise<Result<readonly ConfigurationChange[], Failure>> =>
        (await store.list(bucketPrefix(bucket), READ_OPTIONS)).map(entries =>
            entries.map(({ value }) => JSON.parse(value) as ConfigurationChange)
        );

    const loadArchivedRevisions = async (changes: readonly ConfigurationChange[]): Promise<void> => {
        const buckets = [...new Set(changes.map(({ revision }) => bucketOf(revision)))];
        const lists = await Promise.all(buckets.map(listBucket));
        const found = lists.flatMap(list => (list.ok ? list.val.map(({ revision }): number => revision) : []));
        archived = new Set([...archived, ...found]);
    };

    const storeOne = async (change: ConfigurationChange): Promise<readonly number[]> => {
        const request = { key: keyOf(change.revision), expectedVersion: 0, value: JSON.stringify(change) };
        const result = await store.compareAndSwap(request, WRITE_OPTIONS);
        return result.ok || result.val.code === ErrorCode.KeyValueConflict ? [change.revision] : [];
    };

    const unarchivedOf = (changes: readonly ConfigurationChange[]): readonly ConfigurationChange[] =>
        changes.filter(({ revision }) => !archived.has(revision));

    const archiveChanges = async (changes: readonly ConfigurationChange[]): Promise<void> => {
        if (unarchivedOf(changes).length > 1) {
            await loadArchivedRevisions(unarchivedOf(changes));
        }
        const stored = await Promise.all(unarchivedOf(changes).map(storeOne));
        const knownRevisions = [...archived, ...stored.flat()];
        const oldest = changes[0]?.revision ?? 0;
        archived = new Set(knownRevisions.filter(revision => revision >= oldest));
    };

    return {
        archive: document => {
            pendingArchive = pendingArchive.then(() => archiveChanges(document.recentChanges));
            return pendingArchive;
        },
        read: async ({ beforeRevision, afterRevision, limit }) => {
            let changes: readonly ConfigurationChange[] = [];
            const last = bucketOf(beforeRevision - 1);
            const first = Math.max(bucketOf(afterRevision + 1), last - MAXIMUM_BUCKETS_READ + 1);
            for (let bucket = last; bucket >= first && changes.length < limit; bucket--) {
                const list = await listBucket(bucket);
                if (list.err) {
                    return list;
                }
                const wanted = list.val.filter(({ revision }) => revision < beforeRevision && revision > afterRevision);
                changes = [...changes, ...[...wanted].reverse()];
            }
            return Ok(changes.slice(0, limit));
        },
    };
};
