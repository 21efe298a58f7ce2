import type { GatewayConfiguration } from "@ibislanding/gateway";
import { createTestConfiguration } from "./startTestHost";

/** Long enough for no request to be refused because the machine of the test is busy. */
const OBJECTIVE_MS = 4_000;

/** Creates a configuration whose route is for streams that can be taken up. */
export const createStreamConfiguration = (): GatewayConfiguration => {
    const configuration = createTestConfiguration(1, "k1");
    return {
        ...configuration,
        routes: configuration.routes.map(route => ({
            ...route,
            kind: "stream" as const,
            isResumable: true,
            maximumAttempts: 3,
            objectiveMs: OBJECTIVE_MS,
        })),
    };
};
