package simload

import (
	"image/color"
	"io"
	"os"
)

// plotColor returns one of five colours that can be distinguished by brightness.
func plotColor(i int) color.Color {
	colors := []color.Color{
		color.Gray{Y: 200}, color.Gray{Y: 150}, color.Gray{Y: 90},
		color.RGBA{R: 0, G: 90, B: 160, A: 255}, color.RGBA{R: 220, G: 140, B: 0, A: 255},
	}
	return colors[i%len(colors)]
}

func writeFile(path string, from io.WriterTo) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if _, err := from.WriteTo(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
