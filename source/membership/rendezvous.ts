import xxhash, { type XXHashAPI } from "xxhash-wasm";

const MAXIMUM_CACHED_NAMES = 8192;

/** Ranks candidates by rendezvous hashing, so that every node computes the same ranks for a subject. */
export interface Rendezvous {
  /** Returns the score of a candidate for a subject; the highest is preferred. */
  score(subject: string, candidate: string): number;
  /** Returns the candidates with the highest scores, the highest first. */
  choose<Candidate>(
    subject: string,
    candidates: ReadonlyArray<Candidate>,
    options: ChoiceOptions<Candidate>,
  ): ReadonlyArray<Candidate>;
}

/** Number of candidates to choose, and the name by which each is ranked. */
export interface ChoiceOptions<Candidate> {
  readonly count: number;
  readonly name: (candidate: Candidate) => string;
}

/**
 * Loads the hash function and creates a rendezvous hash.
 * @example
 * ```ts
 * const rendezvous = await createRendezvous();
 * const monitors = rendezvous.choose("10.0.0.7:80", nodes, { count: 3, name: (node) => node });
 * ```
 */
export async function createRendezvous(): Promise<Rendezvous> {
  return new XxhashRendezvous(await xxhash());
}

class XxhashRendezvous implements Rendezvous {
  readonly #hash: XXHashAPI;
  readonly #hashes = new Map<string, number>();

  constructor(hash: XXHashAPI) {
    this.#hash = hash;
  }

  score(subject: string, candidate: string): number {
    return mix(this.#hashOf(subject), this.#hashOf(candidate));
  }

  choose<Candidate>(
    subject: string,
    candidates: ReadonlyArray<Candidate>,
    { count, name }: ChoiceOptions<Candidate>,
  ): ReadonlyArray<Candidate> {
    return candidates
      .map((candidate) => ({
        candidate,
        score: this.score(subject, name(candidate)),
      }))
      .sort((left, right) => right.score - left.score)
      .slice(0, count)
      .map(({ candidate }) => candidate);
  }

  #hashOf(name: string): number {
    const known = this.#hashes.get(name);
    if (known !== undefined) return known;
    if (this.#hashes.size >= MAXIMUM_CACHED_NAMES) this.#hashes.clear();
    const hash = this.#hash.h32(name);
    this.#hashes.set(name, hash);
    return hash;
  }
}

/** Mixes two hashes; the pair (a, b) and the pair (b, a) score differently. */
function mix(left: number, right: number): number {
  let value = Math.imul(left, 0x9e3779b1) ^ Math.imul(right, 0x85ebca77);
  value = Math.imul(value ^ (value >>> 15), 0x2c1b3c6d);
  value = Math.imul(value ^ (value >>> 12), 0x297a2d39);
  return (value ^ (value >>> 15)) >>> 0;
}
