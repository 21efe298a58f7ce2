import {
    type ConfigurationFollower,
    configurationKey,
    type ConfigurationWriter,
    parseDocument,
} from "@ibislanding/configuration";
import type { Failure } from "@ibislanding/core";
import type { KeyValueStore } from "@ibislanding/platform";
import { type ConfigurationDocument, emptyConfiguration } from "@ibislanding/resources";
import { Ok, type Result } from "ts-results";
import type { ConfigurationAccess } from "./configurationAccess";

const READ_OPTIONS = { cause: "configuration-read", timeoutMs: 1_000 } as const;

interface ConfigurationAccessOptions {
    readonly store: KeyValueStore;
    readonly writer: ConfigurationWriter;
    readonly follower: ConfigurationFollower;
}

/**
 * Creates the adapter to the configuration.
 *
 * Reads go to the key-value service, so that operators see changes accepted by other processes; during an outage they
 * return the follower's document. A read never returns an earlier revision than the follower's.
 */
export const createConfigurationAccess = (
    { store, writer, follower }: ConfigurationAccessOptions,
): ConfigurationAccess => {
    const readStored = async (): Promise<Result<ConfigurationDocument, Failure>> =>
        (await store.get(configurationKey, READ_OPTIONS)).andThen(entry =>
            entry === undefined ? Ok(emptyConfiguration) : parseDocument(entry.value)
        );

    return {
        read: async () => {
            const stored = await readStored();
            const known = follower.current();
            if (stored.err) {
                return known === undefined ? stored : Ok({ document: known, stale: true });
            }
            return Ok(
                known !== undefined && known.revision > stored.val.revision
                    ? { document: known, stale: true }
                    : { document: stored.val, stale: false },
            );
        },
        current: follower.current,
        subscribe: follower.subscribe,
        apply: writer.apply,
        dryRun: async (operation, changedBy) => (await writer.dryRun(operation, changedBy)).map(({ change }) => change),
        findOperation: writer.findOperation,
    };
};
