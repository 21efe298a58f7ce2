import type { EdgeOptions } from "../edgeOptions";

/** Dependencies of a rollout book. */
export interface RolloutBookOptions extends Pick<EdgeOptions, "log" | "documents"> {
    /** Called when an order or the newest state of a service has changed. */
    readonly onChange: () => void;
}
