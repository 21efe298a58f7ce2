import type { EngineOrder } from "@ibislanding/upstreams";
import type { EngineOrders } from "./engineOrders";
import type { EngineProfile } from "./engineProfile";

/** Creates the order-controlled state of an engine; initially the model of its profile is loaded. */
export const createEngineOrders = (profile: EngineProfile): EngineOrders => {
    const versions: Record<string, string> = { [profile.model]: profile.version };
    const adapters = new Set<string>();
    const newest = { fencingNumber: 0, generation: 0 };
    let role = "serve";

    const handlers: Readonly<Record<EngineOrder["type"], (order: EngineOrder) => void>> = {
        "load-model": ({ model, version }) => {
            versions[model ?? profile.model] = version ?? "";
        },
        "load-adapter": ({ adapter }) => void adapters.add(adapter ?? ""),
        "unload-adapter": ({ adapter }) => void adapters.delete(adapter ?? ""),
        "set-role": order => {
            role = order.role ?? role;
        },
        // Handled by the engine, which stops accepting new requests.
        drain: () => undefined,
    };

    return {
        apply: order => {
            if (profile.checksFencing && order.fencingNumber < newest.fencingNumber) {
                return false;
            }
            newest.fencingNumber = Math.max(newest.fencingNumber, order.fencingNumber);
            if (order.generation >= newest.generation) {
                newest.generation = order.generation;
                handlers[order.type](order);
            }
            return true;
        },
        describe: () => ({ modelVersions: { ...versions }, adapters: [...adapters], role }),
    };
};
