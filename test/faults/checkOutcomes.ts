import type SimulationEvent from '../support/SimulationEvent';

type Started = Extract<SimulationEvent, { kind: 'started' }>;
type Asked = Extract<SimulationEvent, { kind: 'asked' }>;
type Answered = Extract<SimulationEvent, { kind: 'answered' }>;

/** All that happened to one id. */
interface Story {
  readonly id: string;
  readonly starts: readonly Started[];
  readonly asks: readonly Asked[];
  readonly answers: readonly Answered[];
}

/**
 * Checks the promises against what callers and backend servers saw, and returns
 * what was broken, a line each. It knows nothing of the code under test.
 */
export default function checkOutcomes(
  happenings: readonly SimulationEvent[],
  answerWithinMs: number,
): string[] {
  const ids = [...new Set(happenings.map(({ id }) => id))];
  return ids.flatMap((id) => {
    const own = happenings.filter((happening) => happening.id === id);
    const story: Story = {
      id,
      starts: own.filter((happening) => happening.kind === 'started'),
      asks: own.filter((happening) => happening.kind === 'asked'),
      answers: own.filter((happening) => happening.kind === 'answered'),
    };
    return [
      ...doubleStarts(story),
      ...falseNotRuns(story),
      ...wrongAnswers(story),
      ...differentAnswers(story),
      ...unanswered(story, answerWithinMs),
    ].map((broken) => `${id}: ${broken}`);
  });
}

/** No attempt starts twice; but for idempotent requests, there is one attempt. */
function doubleStarts({ starts, asks }: Story): string[] {
  const idempotent = asks.some((ask) => ask.idempotent);
  const names = starts.map(({ task, index }) => (idempotent ? task : `task ${index}`));
  const doubled = names.filter((name, at) => names.indexOf(name) !== at);
  return [...new Set(doubled)].map((name) => `${name} started twice`);
}

/** "Not run" means that nothing was started before, and nothing is later without another ask. */
function falseNotRuns({ starts, asks, answers }: Story): string[] {
  const refused = answers.filter(({ outcome }) => outcome === 'not-run');
  return refused.flatMap((answer) => {
    const before = starts.filter(({ at }) => at <= answer.at).length;
    if (before > 0) return [`"not run" at ${answer.at} after ${before} starts`];
    const isLast = asks.every(({ ask }) => ask <= answer.ask || isAnsweredBy(ask, answers, answer));
    return isLast && starts.length > 0 ? [`started after the last answer, "not run"`] : [];
  });
}

function isAnsweredBy(ask: number, answers: readonly Answered[], until: Answered): boolean {
  return answers.some((answer) => answer.ask === ask && answer.at <= until.at);
}

/** A completed answer has every task's own result; any other has none. */
function wrongAnswers({ asks, answers, starts }: Story): string[] {
  return answers.flatMap(({ outcome, outputs, ask, at }) => {
    if (outcome !== 'completed') return outputs.length > 0 ? [`"${outcome}" with results`] : [];
    const { expected } = asks.find((asked) => asked.ask === ask)!;
    const wrong = outputs.join() !== expected.join() ? [`answer ${outputs.join()}`] : [];
    const ran = new Set(starts.filter((start) => start.at <= at).map(({ index }) => index));
    return ran.size < expected.length ? [...wrong, 'completed without all starts'] : wrong;
  });
}

/** Completed and failed are final: no other answer than the same follows, but for a lost connection. */
function differentAnswers({ answers }: Story): string[] {
  const finals = answers.filter(({ outcome }) => outcome === 'completed' || outcome === 'failed');
  const bodies = new Set(finals.map(({ outcome, outputs }) => `${outcome} ${outputs.join()}`));
  return bodies.size > 1 ? [`different answers: ${[...bodies].join(' | ')}`] : [];
}

/** Every ask has an answer, or its connection's end, in time. */
function unanswered({ asks, answers }: Story, withinMs: number): string[] {
  return asks.flatMap(({ ask, at }) => {
    const answer = answers.find((answered) => answered.ask === ask);
    if (!answer) return [`no answer to ask ${ask}`];
    return answer.at - at > withinMs ? [`answered after ${answer.at - at} ms`] : [];
  });
}
