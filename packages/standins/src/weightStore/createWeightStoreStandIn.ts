import { ErrorCode } from "@ibislanding/core";
import { answerJson } from "../server/answerJson";
import { createStandInServer } from "../server/createStandInServer";
import type { Route } from "../server/route";
import type { StandInServer } from "../server/standInServer";

interface WeightStoreProfile {
    readonly loadsPerSecond: number;
    /** Capacity of the token bucket. */
    readonly burstLoads: number;
    readonly sizeBytes: number;
}

const MS_PER_SECOND = 1_000;

/**
 * Starts a stand-in for the weight store that limits loads with a token bucket; `GET /reservations` returns the number
 * of granted and refused loads.
 */
export const createWeightStoreStandIn = (port: number, profile: WeightStoreProfile): Promise<StandInServer> => {
    const counts = { granted: 0, refused: 0 };
    let tokens = profile.burstLoads;
    let filledAtMs = performance.now();

    const refill = (): void => {
        const nowMs = performance.now();
        const added = (nowMs - filledAtMs) / MS_PER_SECOND * profile.loadsPerSecond;
        tokens = Math.min(profile.burstLoads, tokens + added);
        filledAtMs = nowMs;
    };

    const routes: readonly Route[] = [
        {
            method: "POST",
            pattern: /^\/v1\/artifacts\/([^/]+)\/reservations$/,
            handle: ({ response }) => {
                refill();
                if (tokens < 1) {
                    counts.refused++;
                    const retryAfterMs = Math.ceil((1 - tokens) / profile.loadsPerSecond * MS_PER_SECOND);
                    answerJson(response, 409, { code: ErrorCode.PlatformRefused, retryAfterMs });
                    return;
                }
                tokens--;
                counts.granted++;
                answerJson(response, 200, { sizeBytes: profile.sizeBytes });
            },
        },
        { method: "GET", pattern: /^\/reservations$/, handle: ({ response }) => answerJson(response, 200, counts) },
    ];
    return createStandInServer(port, routes);
};
