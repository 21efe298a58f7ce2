import type { Brand } from "../brand";

/** Version of an upstream's software; versions have no order. */
export type SoftwareVersion = Brand<string, "SoftwareVersion">;
