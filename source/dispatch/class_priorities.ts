import type { ConfigurationView } from "../membership/configuration_view.ts";

/** Priority of a deferrable class, which engines run after every other class. */
const DEFERRABLE_PRIORITY = 2_000_000_000;
/** Priority of an undeclared class and of a class without latency targets. */
const UNKNOWN_PRIORITY = 1_000_000_000;

/** Derives the priority of engine requests from the latency targets of the class of work. */
export class ClassPriorities {
  readonly #configuration: ConfigurationView;

  /** @param configuration - View of the current declaration. */
  constructor(configuration: ConfigurationView) {
    this.#configuration = configuration;
  }

  /** Returns the priority of a class; engines run lower values first. */
  priorityOf(classOfWork: string): number {
    const classes = this.#configuration.current()?.declaration?.classes ?? [];
    const found = classes.find(({ name }) => name === classOfWork);
    if (found === undefined) return UNKNOWN_PRIORITY;
    if (found.deferrable) return DEFERRABLE_PRIORITY;
    const { firstTokenP99Milliseconds, latencyP99Milliseconds } = found;
    return firstTokenP99Milliseconds || latencyP99Milliseconds ||
      UNKNOWN_PRIORITY;
  }
}
