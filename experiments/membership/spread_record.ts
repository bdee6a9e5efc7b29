import { build, type Histogram } from "hdr-histogram-js";

/** Times from the telling of a subject until a node knew it. */
interface Subject {
  readonly kind: string;
  readonly startedAt: number;
  /** Nodes that must come to know it and have not yet. */
  readonly waiting: Set<string>;
  latest: number;
}

/** How fast subjects of one kind spread, in milliseconds. */
export interface SpreadSummary {
  readonly kind: string;
  readonly subjects: number;
  /** Subjects that some live node did not come to know. */
  readonly incomplete: number;
  readonly p50: number;
  readonly p99: number;
  readonly maximum: number;
  readonly allP50: number;
  readonly allP99: number;
}

/** Records when each node came to know each subject. */
export class SpreadRecord {
  readonly #subjects = new Map<string, Subject>();
  /** Word of subjects whose telling has not been reported yet, since processes report separately. */
  readonly #early = new Map<string, Map<string, number>>();
  readonly #perNode = new Map<string, Histogram>();

  /** Opens a subject that the named nodes must come to know. */
  open(subject: string, startedAt: number, nodes: Iterable<string>): void {
    const [kind = ""] = subject.split(" ");
    this.#subjects.set(subject, {
      kind,
      startedAt,
      waiting: new Set(nodes),
      latest: startedAt,
    });
    for (const [node, at] of this.#early.get(subject) ?? []) {
      this.know(subject, node, at);
    }
    this.#early.delete(subject);
  }

  /** Notes that a node knows a subject. */
  know(subject: string, node: string, at: number): void {
    const record = this.#subjects.get(subject);
    if (record === undefined) return this.#keepEarly(subject, node, at);
    if (!record.waiting.delete(node)) return;
    record.latest = Math.max(record.latest, at);
    this.#histogram(record.kind).recordValue(
      Math.max(1, Math.round(at - record.startedAt)),
    );
  }

  /** Takes a node that ended out of all subjects. */
  drop(node: string): void {
    for (const { waiting } of this.#subjects.values()) waiting.delete(node);
  }

  /** Returns the nodes that do not know a subject yet. */
  waitingFor(): ReadonlyArray<string> {
    return [...this.#subjects].filter(([, { waiting }]) => waiting.size > 0)
      .map(([subject, { waiting }]) =>
        `${subject}: ${[...waiting].join(", ")}`
      );
  }

  /** Returns the figures of each kind. */
  summarise(): ReadonlyArray<SpreadSummary> {
    return [...this.#perNode].map(([kind, histogram]) => {
      const subjects = [...this.#subjects.values()].filter((each) =>
        each.kind === kind
      );
      const whole = build();
      for (const { waiting, latest, startedAt } of subjects) {
        if (waiting.size > 0) continue;
        whole.recordValue(Math.max(1, Math.round(latest - startedAt)));
      }
      return {
        kind,
        subjects: subjects.length,
        incomplete: subjects.filter(({ waiting }) => waiting.size > 0).length,
        p50: histogram.getValueAtPercentile(50),
        p99: histogram.getValueAtPercentile(99),
        maximum: histogram.maxValue,
        allP50: whole.getValueAtPercentile(50),
        allP99: whole.getValueAtPercentile(99),
      };
    });
  }

  #keepEarly(subject: string, node: string, at: number): void {
    const nodes = this.#early.get(subject) ?? new Map<string, number>();
    this.#early.set(subject, nodes);
    if (!nodes.has(node)) nodes.set(node, at);
  }

  #histogram(kind: string): Histogram {
    const histogram = this.#perNode.get(kind) ?? build();
    this.#perNode.set(kind, histogram);
    return histogram;
  }
}
