package soak

import (
	"fmt"
	"os"
	"os/exec"
	"syscall"
)

// busyVariable in the environment makes the test's binary a busy loop.
const busyVariable = "WAXWINGCART_SOAK_BUSY"

// busyLoop loads one processor until the process is killed.
func busyLoop() {
	for i := 0; ; i++ {
		if i < 0 {
			fmt.Println(i)
		}
	}
}

// startBusy starts a process that loads one processor.
func (d *deployment) startBusy() (*os.Process, error) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), busyVariable+"=1", "GOMAXPROCS=1")
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	started := make(chan error)
	d.launch <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return nil, err
	}
	return cmd.Process, nil
}
