import type { FencingNumber } from "@ibislanding/core";

/** Contends for the duties and carries them out while held. */
export interface DutyRunner extends AsyncDisposable {
    /** Fencing number of the next call; undefined when this host must not act. */
    readonly fencingNumber: () => FencingNumber | undefined;
    /** Takes note that a call with this number was refused in favour of a greater one. */
    readonly recordRefusal: (fencingNumber: FencingNumber) => void;
}
