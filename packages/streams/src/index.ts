// Event ids
export { createEventIdCodec } from "./eventId/createEventIdCodec";
export type { EventIdCodec } from "./eventId/eventIdCodec";
export type { StreamBinding } from "./eventId/streamBinding";
export type { StreamPosition } from "./eventId/streamPosition";

// Journal
export { createTokenJournal } from "./journal/createTokenJournal";
export type { TokenJournal } from "./journal/tokenJournal";

// Answers
export type { AnswerEvent } from "./answer/answerEvent";
export type { AnswerOptions } from "./answer/answerOptions";
export type { AnswerPorts } from "./answer/answerPorts";
export type { AnswerStrategy } from "./answer/answerStrategy";
export { createAnswerStream } from "./answer/createAnswerStream";
export { defaultAnswerStrategy } from "./answer/defaultAnswerStrategy";
export { filterResumed } from "./answer/filterResumed";
export type { SelectedUpstream } from "./answer/selectedUpstream";

// Recovery
export { chooseRecovery } from "./recovery/chooseRecovery";
export type { RecoveryCosts } from "./recovery/recoveryCosts";
