import type { EventDefinition } from "./event_definition.ts";
import { ADMISSION_EVENTS } from "./events/admission_events.ts";
import { BACKEND_EVENTS } from "./events/backend_events.ts";
import { CONTROL_EVENTS } from "./events/control_events.ts";
import { ENTRY_EVENTS } from "./events/entry_events.ts";
import { INSTALLATION_EVENTS } from "./events/installation_events.ts";
import { MEMBERSHIP_EVENTS } from "./events/membership_events.ts";
import { NODE_EVENTS } from "./events/node_events.ts";
import { PLATFORM_EVENTS } from "./events/platform_events.ts";
import { STEP_EVENTS } from "./events/step_events.ts";

/** All numbered log events. */
export const EVENT_CATALOGUE = {
  ...NODE_EVENTS,
  ...PLATFORM_EVENTS,
  ...BACKEND_EVENTS,
  ...ENTRY_EVENTS,
  ...CONTROL_EVENTS,
  ...STEP_EVENTS,
  ...MEMBERSHIP_EVENTS,
  ...ADMISSION_EVENTS,
  ...INSTALLATION_EVENTS,
} as const;

/** Name of a log event. */
export type EventName = keyof typeof EVENT_CATALOGUE;

/** Fields that an event must carry. */
export type EventFields<Name extends EventName> =
  (typeof EVENT_CATALOGUE)[Name] extends EventDefinition<infer Field>
    ? Readonly<Record<Field, string | number | boolean>>
    : never;
