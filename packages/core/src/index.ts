// Brands and ids
export type { Brand } from "./brand";
export type { AccountId } from "./ids/accountId";
export type { ActionKey } from "./ids/actionKey";
export type { AvailabilityZone } from "./ids/availabilityZone";
export type { FencingNumber } from "./ids/fencingNumber";
export type { HostId } from "./ids/hostId";
export type { ModelName } from "./ids/modelName";
export type { OperationId } from "./ids/operationId";
export type { Region } from "./ids/region";
export type { RequestId } from "./ids/requestId";
export type { Revision } from "./ids/revision";
export type { ServiceName } from "./ids/serviceName";
export type { SoftwareVersion } from "./ids/softwareVersion";
export type { TeamName } from "./ids/teamName";
export type { UpstreamId } from "./ids/upstreamId";

// Failures
export { createFailure } from "./errors/createFailure";
export { ErrorCode } from "./errors/errorCode";
export { errorMessages } from "./errors/errorMessages";
export type { Failure } from "./errors/failure";
export { FailureError } from "./errors/failureError";
export { httpStatusOf } from "./errors/httpStatusOf";
export type { Problem } from "./errors/problem";
export { toProblem } from "./errors/toProblem";

// Time
export type { Clock } from "./time/clock";
export { createClockDriftMeter } from "./time/createClockDriftMeter";
export { createFakeClock } from "./time/createFakeClock";
export { createLoopDelayMeter } from "./time/createLoopDelayMeter";
export { createSystemClock } from "./time/createSystemClock";
export type { FakeClock } from "./time/fakeClock";
export type { LoopDelayMeter } from "./time/loopDelayMeter";
export { MAXIMUM_TIMER_MS } from "./time/maximumTimerMs";
export { measureElapsedMs } from "./time/measureElapsedMs";
export type { Timer } from "./time/timer";

// Random numbers
export { backoffDelayMs } from "./random/backoffDelayMs";
export type { BackoffPolicy } from "./random/backoffPolicy";
export { createRandom } from "./random/createRandom";
export { createSystemRandom } from "./random/createSystemRandom";
export type { RandomSource } from "./random/randomSource";

// Numbers
export { createRateMeter } from "./numbers/createRateMeter";
export { median } from "./numbers/median";
export type { RateMeter } from "./numbers/rateMeter";

// JSON
export { parseJson } from "./json/parseJson";

// Memory
export { createMemoryBudget } from "./memory/createMemoryBudget";
export type { HeldMemory } from "./memory/heldMemory";
export type { MemoryBudget } from "./memory/memoryBudget";
export type { MemoryOffer } from "./memory/memoryOffer";

// HTTP
export type { BodyDelimiter } from "./http/bodyDelimiter";
export { breakOffResponse } from "./http/breakOffResponse";
export type { ByteCollector } from "./http/byteCollector";
export { createByteCollector } from "./http/createByteCollector";
export { createHalfOpenAgent } from "./http/createHalfOpenAgent";
export { detectReset } from "./http/detectReset";
export { findBodyDelimiter } from "./http/findBodyDelimiter";
export type { FramingLimit } from "./http/framingLimit";
export { guardEvent } from "./http/guardEvent";
export { isFinalStatus } from "./http/isFinalStatus";
export { limitFraming } from "./http/limitFraming";
export { parseSocketAddress } from "./http/parseSocketAddress";
export { rejectInvalidHeads } from "./http/rejectInvalidHeads";

// Hashing
export { combineHashes } from "./hashing/combineHashes";
export { createHasher } from "./hashing/createHasher";
export type { Hasher } from "./hashing/hasher";

// Tasks
export { createDeferred } from "./tasks/createDeferred";
export { createResourceStack } from "./tasks/createResourceStack";
export { createTask } from "./tasks/createTask";
export type { Deferred } from "./tasks/deferred";
export type { ResourceStack } from "./tasks/resourceStack";
export type { Task } from "./tasks/task";
export type { TaskOptions } from "./tasks/taskOptions";
