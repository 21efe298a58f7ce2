import { createConfigurationWriter } from "@ibislanding/configuration";
import type { ConfigurationDocument } from "@ibislanding/resources";
import type { AdminDependencies } from "./adminDependencies";
import type { AdminServices } from "./adminServices";
import { createConfigurationAccess } from "./ports/createConfigurationAccess";
import { createKeyValueAuditArchive } from "./ports/createKeyValueAuditArchive";
import { createKeyValueStatusRecords } from "./ports/createKeyValueStatusRecords";
import { createWatchSlots } from "./queries/createWatchSlots";
import { createConditionTimes } from "./views/createConditionTimes";

/** Creates the services of the routes; accepted changes are archived and passed to the follower, which notifies peers. */
export const createAdminServices = (dependencies: AdminDependencies): AdminServices => {
    const { store, follower, members, clock, random, watchHeartbeatMs, stopSignal } = dependencies;
    const auditArchive = createKeyValueAuditArchive(store);
    const onAccepted = async (document: ConfigurationDocument): Promise<void> => {
        void auditArchive.archive(document);
        await follower.offer(document);
    };
    const writer = createConfigurationWriter({ store, clock, random, onAccepted });
    return {
        configuration: createConfigurationAccess({ store, writer, follower }),
        auditArchive,
        members,
        statuses: createKeyValueStatusRecords(store),
        conditionTimes: createConditionTimes(clock),
        watchSlots: createWatchSlots(dependencies.maximumWatches),
        clock,
        random,
        watchHeartbeatMs,
        stopSignal,
    };
};
