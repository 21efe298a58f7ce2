// Services
export { createServiceController } from "./service/createServiceController";
export type { DesiredService } from "./service/desiredService";
export { listDesiredServices } from "./service/listDesiredServices";
export type { ServiceController } from "./service/serviceController";
export type { ServiceControllerOptions } from "./service/serviceControllerOptions";

// Orders
export type { OrderOutcome } from "./orders/orderOutcome";
export type { OrderPorts } from "./orders/orderPorts";

// Program
export type { ControlSettings } from "./settings/controlSettings";
export { controlSettingsSchema } from "./settings/controlSettingsSchema";
export { startControl } from "./startControl";
