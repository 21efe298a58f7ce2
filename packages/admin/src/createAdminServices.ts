import { createConfigurationWriter } from "@ibislanding/configuration";
import type { AdminDependencies } from "./adminDependencies";
import type { AdminServices } from "./adminServices";
import { createConfigurationAccess } from "./ports/createConfigurationAccess";
import { createKeyValueStatusRecords } from "./ports/createKeyValueStatusRecords";
import { createWatchSlots } from "./queries/createWatchSlots";
import { createConditionTimes } from "./views/createConditionTimes";

/** Creates the services of the routes; each accepted change is offered to the follower, which informs its peers. */
export const createAdminServices = (dependencies: AdminDependencies): AdminServices => {
    const { store, follower, members, clock, random, watchHeartbeatMs, stopSignal } = dependencies;
    const writer = createConfigurationWriter({ store, clock, random, onAccepted: follower.offer });
    return {
        configuration: createConfigurationAccess({ store, writer, follower }),
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
