/** A short key for a task, for maps. */
export default function taskKey(task: { batch: string; step: number; index: number }): string {
  return `${task.batch}.${task.step}.${task.index}`;
}
