/** A short map key for a task. */
export default function taskKey(task: { batch: string; step: number; index: number }): string {
  return `${task.batch}.${task.step}.${task.index}`;
}
