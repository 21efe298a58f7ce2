import type { EdgeOptions } from "../edgeOptions";

/** Dependencies of a rollout registry. */
export interface RolloutRegistryOptions extends Pick<EdgeOptions, "log" | "documents"> {
    /** Called when an order or the newest state of a service has changed. */
    readonly onChange: () => void;
}
