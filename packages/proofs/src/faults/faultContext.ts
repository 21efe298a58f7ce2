import type { DriverContext } from "../drivers/driverContext";

/** What faults work on. */
export interface FaultContext extends DriverContext {
    /** Sends a JSON body to a stand-in. */
    readonly tell: (url: string, body: unknown, method?: "POST" | "PUT") => Promise<void>;
}
