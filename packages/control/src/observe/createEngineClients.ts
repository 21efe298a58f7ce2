import type { Clock } from "@ibislanding/core";
import type { EngineClients } from "./engineClients";
import type { ObservedEngine } from "./observedEngine";

/** Creates an empty pool of engine clients; `connect` opens the client of a URL. */
export const createEngineClients = (
    clock: Clock,
    connect: (url: string) => ObservedEngine["client"],
): EngineClients => {
    const engines = new Map<string, ObservedEngine>();

    const close = async (url: string): Promise<void> => {
        const engine = engines.get(url);
        engines.delete(url);
        await engine?.client[Symbol.asyncDispose]();
    };

    return {
        get: url => {
            const engine = engines.get(url)
                ?? { client: connect(url), load: undefined, lastResponseAtMs: clock.monotonicMs() };
            engines.set(url, engine);
            return engine;
        },
        retain: async urls => {
            await Promise.all([...engines.keys()].filter(url => !urls.has(url)).map(close));
        },
        [Symbol.asyncDispose]: async () => {
            await Promise.all([...engines.keys()].map(close));
        },
    };
};
